import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Idle sessions on a route that allows callers without a valid key; each presents a long one. */
final class LongKeys {

  private static final int SESSIONS = 2_600;
  private static final int LONGEST_KEY_BYTES = 65_000;
  private static final int FILL_SECONDS = 45;
  private static final int PRESENT_MILLIS = 25_000;

  private LongKeys() {}

  public static void main(String[] arguments) {
    Case.main(arguments, LongKeys::run);
  }

  private static int run(Path record) throws Exception {
    try (Rig rig = new Rig(record, 1, new Group.Load())) {
      Proxy proxy = rig.proxies.get(0);
      Ordinary ordinary = new Ordinary(rig, proxy.front, "ledger");
      ordinary.start();
      Thread.sleep(4_000);
      if (ordinary.served(0, 1e9) == 0) {
        rig.record.write("rig", "the ordinary caller is not served before the crowd");
        return Rig.NOT_RUN;
      }
      int longest = Rig.hasTrouble() ? LONGEST_KEY_BYTES : 16;
      List<Client> crowd = new ArrayList<>();
      int refused = 0;
      int keyBytes = longest;
      double until = rig.record.seconds() + FILL_SECONDS;
      while (crowd.size() < SESSIONS && rig.record.seconds() < until) {
        try {
          crowd.add(new Client(proxy.front, "board", "k".repeat(keyBytes), 3_000));
        } catch (IOException e) {
          refused++;
          rig.record.write("crowd", "START with a key of " + keyBytes + " bytes: " + e.getMessage());
          keyBytes = Math.max(16, keyBytes * 3 / 4);
        }
      }
      rig.record.write("crowd", crowd.size() + " sessions are open, with keys of " + longest + " bytes or less; " + refused + " were refused");
      double from = rig.record.seconds();
      Thread.sleep(PRESENT_MILLIS);
      double to = rig.record.seconds();
      for (Client each : crowd) {
        each.close();
      }
      rig.record.write("crowd", "has left");
      Thread.sleep(8_000);
      ordinary.stop();
      return Verdict.of(rig, proxy, ordinary, from, to);
    }
  }
}
