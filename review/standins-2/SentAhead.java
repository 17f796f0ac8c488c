import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sessions of one tenant, which sends many times its usual, send BEGIN, WRITE and ROLLBACK ahead.
 * No write may be kept: the client asks for none to be committed, and gets a promise for each
 * BEGIN that is refused.
 */
final class SentAhead {

  private static final int SESSIONS = 20;
  private static final int OPERATIONS_PER_SECOND = 400;
  private static final double SECONDS = 6;

  private SentAhead() {}

  public static void main(String[] arguments) {
    Case.main(arguments, SentAhead::run);
  }

  private static int run(Path record) throws Exception {
    try (Rig rig = new Rig(record, 2, new Group.Load())) {
      Thread.sleep(3_000);
      AtomicInteger kept = new AtomicInteger();
      AtomicInteger sent = new AtomicInteger();
      AtomicInteger answered = new AtomicInteger();
      double until = rig.record.seconds() + SECONDS;
      int sessions = Rig.hasTrouble() ? SESSIONS : 1;
      int pauseMillis = Rig.hasTrouble() ? 1_000 * SESSIONS / OPERATIONS_PER_SECOND : 100;
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < sessions; i++) {
        String name = "client " + i;
        Proxy proxy = rig.proxies.get(i % rig.proxies.size());
        Thread caller =
            new Thread(() -> call(rig, proxy, name, until, pauseMillis, sent, answered, kept));
        caller.setDaemon(true);
        caller.start();
        callers.add(caller);
      }
      for (Thread each : callers) {
        each.join(30_000);
      }
      rig.record.write(
          "verdict",
          sent + " transactions sent ahead, " + answered + " answered in full, " + kept
              + " writes kept");
      if (answered.get() == 0) {
        return Rig.NOT_RUN;
      }
      rig.record.write("verdict", kept.get() > 0 ? "BROKEN" : "HELD");
      return kept.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }

  private static void call(
      Rig rig,
      Proxy proxy,
      String name,
      double until,
      int pauseMillis,
      AtomicInteger sent,
      AtomicInteger answered,
      AtomicInteger kept) {
    try (Client client = new Client(proxy.front, "orders", "key-crowd", 5_000)) {
      while (rig.record.seconds() < until) {
        String item = "x" + sent.incrementAndGet();
        String[] ids = {Client.newId(), Client.newId(), Client.newId()};
        String messages =
            "QUERY " + ids[0] + " BEGIN\r\nQUERY " + ids[1] + " WRITE " + item
                + " unwanted\r\nQUERY " + ids[2] + " ROLLBACK\r\n";
        client.send(messages.getBytes(StandardCharsets.ISO_8859_1));
        String begin = client.answer();
        String write = client.answer();
        String rollback = client.answer();
        answered.incrementAndGet();
        rig.record.write(
            name,
            ids[0] + " BEGIN: " + begin + " | " + ids[1] + " WRITE " + item + ": " + write + " | "
                + ids[2] + " ROLLBACK: " + rollback);
        if (rig.first.lastValue(item).equals("unwanted")) {
          kept.incrementAndGet();
          rig.record.write(name, "the write of " + item + " is committed at the database");
        }
        Thread.sleep(pauseMillis);
      }
    } catch (IOException e) {
      rig.record.write(name, "ends: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
