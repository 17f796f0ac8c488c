import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** An ordinary caller, which opens a session for each of its statements, one after the other. */
final class Ordinary {

  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int PAUSE_MILLIS = 250;

  /** The outcome of one statement. */
  record Outcome(double at, boolean served, String what) {}

  private final Rig rig;
  private final InetSocketAddress front;
  private final String database;
  private final List<Outcome> outcomes = new ArrayList<>();
  private volatile boolean stopped;
  private Thread thread;

  Ordinary(Rig rig, InetSocketAddress front, String database) {
    this.rig = rig;
    this.front = front;
    this.database = database;
  }

  void start() {
    thread = new Thread(this::run, "ordinary");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (!stopped) {
      Outcome outcome = callOnce();
      synchronized (outcomes) {
        outcomes.add(outcome);
      }
      rig.record.write("ordinary caller", "READ i1 of " + database + ": " + outcome.what);
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  Outcome callOnce() {
    double at = rig.record.seconds();
    try (Client client = new Client(front, database, "key-ordinary", TIMEOUT_MILLIS)) {
      String answer = client.query("READ i1");
      return new Outcome(at, answer.startsWith("COMPLETE"), answer);
    } catch (IOException e) {
      return new Outcome(at, false, "no answer: " + e.getMessage());
    }
  }

  void stop() throws InterruptedException {
    stopped = true;
    thread.join(10_000);
  }

  /** Counts the statements that were sent in a time. */
  long sent(double from, double to) {
    synchronized (outcomes) {
      return outcomes.stream().filter(each -> each.at >= from && each.at < to).count();
    }
  }

  /** Counts those among them that were served. */
  long served(double from, double to) {
    synchronized (outcomes) {
      return outcomes.stream()
          .filter(each -> each.at >= from && each.at < to && each.served)
          .count();
    }
  }

  /** Returns the longest time, in seconds, in which no statement was served. */
  double longestGap(double from, double to) {
    synchronized (outcomes) {
      double last = from;
      double longest = 0;
      for (Outcome each : outcomes) {
        if (each.served && each.at >= from && each.at < to) {
          longest = Math.max(longest, each.at - last);
          last = each.at;
        }
      }
      return Math.max(longest, to - last);
    }
  }
}
