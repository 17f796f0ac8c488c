import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A crowd of sessions on a route that is open to all callers sends short reads ahead. An ordinary
 * caller of another service is watched at the process with the crowd, and at another one.
 */
final class Waiters {

  private static final int SESSIONS = 2_600;
  private static final int STATEMENTS_AHEAD = 16;
  private static final int PRESENT_MILLIS = 25_000;

  private Waiters() {}

  public static void main(String[] arguments) {
    Case.main(arguments, Waiters::run);
  }

  private static int run(Path record) throws Exception {
    Group.Load load = new Group.Load();
    load.workMillis = 22;
    try (Rig rig = new Rig(record, 2, load)) {
      Proxy proxy = rig.proxies.get(0);
      rig.first.recordsRuns = false;
      Ordinary ordinary = new Ordinary(rig, proxy.front, "ledger");
      Ordinary elsewhere = new Ordinary(rig, rig.proxies.get(1).front, "ledger");
      ordinary.start();
      elsewhere.start();
      Thread.sleep(4_000);
      if (ordinary.served(0, 1e9) == 0 || elsewhere.served(0, 1e9) == 0) {
        rig.record.write("rig", "the ordinary caller is not served before the crowd");
        return Rig.NOT_RUN;
      }
      int sessions = Rig.hasTrouble() ? SESSIONS : 10;
      List<Client> crowd = new ArrayList<>();
      for (int i = 0; i < sessions; i++) {
        crowd.add(new Client(proxy.front, "board", "no-key", 40_000));
      }
      rig.record.write(
          "crowd",
          sessions + " sessions on an open route send " + STATEMENTS_AHEAD
              + " reads ahead each, read the answers, and begin again");
      double from = rig.record.seconds();
      for (Client each : crowd) {
        Thread caller = new Thread(null, () -> call(each), "crowd", 100_000);
        caller.setDaemon(true);
        caller.start();
      }
      Thread.sleep(PRESENT_MILLIS);
      double to = rig.record.seconds();
      rig.record.write("databases", "have run " + rig.first.runs + " reads of the crowd");
      for (Client each : crowd) {
        each.close();
      }
      rig.record.write("crowd", "has left");
      Thread.sleep(5_000);
      ordinary.stop();
      elsewhere.stop();
      rig.record.write(
          "rig",
          "at the other process: " + elsewhere.served(from, to) + " of " + elsewhere.sent(from, to)
              + " ordinary statements served with the crowd");
      if (elsewhere.served(from, to) == 0) {
        return Rig.NOT_RUN;
      }
      return Verdict.of(rig, proxy, ordinary, from + 1, to);
    }
  }

  private static void call(Client client) {
    byte[] reads =
        "QUERY 77 READ i1\r\n".repeat(STATEMENTS_AHEAD).getBytes(StandardCharsets.ISO_8859_1);
    try {
      while (true) {
        client.send(reads);
        for (int i = 0; i < STATEMENTS_AHEAD; i++) {
          client.answer();
        }
      }
    } catch (IOException e) {
      // The session has been closed.
    }
  }
}
