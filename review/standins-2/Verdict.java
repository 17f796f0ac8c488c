import java.io.IOException;
import java.util.List;

/** Decides whether a process has ended or hangs. */
final class Verdict {

  /** The bound recover_s; a process that serves nobody for as long hangs. */
  private static final double RECOVER_SECONDS = 12;

  private static final int READY_TRIES = 6;

  private Verdict() {}

  /**
   * Returns the exit code of a script.
   *
   * @param from when the crowd was complete, in seconds
   * @param to when it began to leave
   */
  static int of(Rig rig, Proxy proxy, Ordinary ordinary, double from, double to)
      throws IOException {
    List<String> errors = proxy.logLines("OutOfMemory");
    rig.record.write("rig", errors.size() + " log lines of " + proxy.name + " tell of OutOfMemoryError");
    errors.stream().limit(5).forEach(line -> rig.record.write("log of " + proxy.name, line));
    if (!proxy.isAlive()) {
      rig.record.write("verdict", "BROKEN: the process has ended by itself with " + proxy.exitCode());
      return Rig.BROKEN;
    }
    double gap = ordinary.longestGap(from, to);
    rig.record.write(
        "verdict",
        String.format(
            "%d of %d ordinary statements served in the %.0f s with the crowd, none for %.1f s at"
                + " the longest; %d of %d afterwards; counted as ready at the end: %s",
            ordinary.served(from, to),
            ordinary.sent(from, to),
            to - from,
            gap,
            ordinary.served(to, 1e9),
            ordinary.sent(to, 1e9),
            proxy.isReady()));
    if (!isReadyAgain(proxy)) {
      rig.record.write("verdict", "BROKEN: the process hangs, it does not answer that it is ready");
      return Rig.BROKEN;
    }
    if (gap >= RECOVER_SECONDS) {
      rig.record.write("verdict", "BROKEN: the process hangs");
      return Rig.BROKEN;
    }
    rig.record.write("verdict", "HELD");
    return Rig.HELD;
  }

  private static boolean isReadyAgain(Proxy proxy) {
    for (int i = 0; i < READY_TRIES; i++) {
      if (proxy.isReady()) {
        return true;
      }
      try {
        Thread.sleep(500);
      } catch (InterruptedException e) {
        return false;
      }
    }
    return false;
  }
}
