import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One session of a tenant prepares a long statement, executes it and deallocates it, again and
 * again, so that it never has more than one prepared statement. Then the tenant opens sessions that
 * set a short variable and stay idle.
 */
final class LongShapes {

  private static final int ROUNDS = 140;
  private static final int SHAPE_BYTES = 1_000_000;
  private static final int SESSIONS = 2_600;
  private static final int VALUE_BYTES = 6_000;
  private static final int FILL_SECONDS = 45;
  private static final int MOST_REFUSED = 5;
  private static final int PRESENT_MILLIS = 25_000;

  private static int shapes;

  private LongShapes() {}

  public static void main(String[] arguments) {
    Case.main(arguments, LongShapes::run);
  }

  private static int run(Path record) throws Exception {
    try (Rig rig = new Rig(record, 1, new Group.Load())) {
      Proxy proxy = rig.proxies.get(0);
      Ordinary ordinary = new Ordinary(rig, proxy.front, "ledger");
      ordinary.start();
      Thread.sleep(4_000);
      if (ordinary.served(0, 1e9) == 0) {
        rig.record.write("rig", "the ordinary caller is not served before the trouble");
        return Rig.NOT_RUN;
      }
      int shapeBytes = Rig.hasTrouble() ? SHAPE_BYTES : 16;
      List<Client> idle = new ArrayList<>();
      double until = rig.record.seconds() + FILL_SECONDS;
      while (rig.record.seconds() < until && proxy.isAlive()) {
        prepareOften(rig, proxy, shapeBytes, until);
        openIdle(rig, proxy, idle, until);
        Thread.sleep(200);
      }
      rig.record.write(
          "tenant",
          idle.size() + " idle sessions were opened, each with a variable of " + VALUE_BYTES
              + " bytes");
      double from = rig.record.seconds();
      Thread.sleep(PRESENT_MILLIS);
      double to = rig.record.seconds();
      for (Client each : idle) {
        each.close();
      }
      rig.record.write("tenant", "has left");
      Thread.sleep(8_000);
      ordinary.stop();
      return Verdict.of(rig, proxy, ordinary, from, to);
    }
  }

  private static void prepareOften(Rig rig, Proxy proxy, int shapeBytes, double until) {
    try (Client client = new Client(proxy.front, "stock", "key-crowd", 3_000)) {
      for (int i = 0; i < ROUNDS && rig.record.seconds() < until; i++) {
        shapes++;
        String shape = "a".repeat(shapeBytes - 7) + (1_000_000 + shapes);
        String prepared = client.query("PREPARE s1 READ " + shape);
        String executed = client.query("EXECUTE s1 i1");
        String forgotten = client.query("DEALLOC s1");
        rig.record.write(
            "tenant",
            "round " + i + ": PREPARE s1 READ with " + shapeBytes + " bytes: " + prepared
                + ", EXECUTE s1 i1: " + executed + ", DEALLOC s1: " + forgotten);
      }
    } catch (IOException e) {
      rig.record.write("tenant", "the session ends: " + e.getMessage());
    }
  }

  private static void openIdle(Rig rig, Proxy proxy, List<Client> idle, double until) {
    int refused = 0;
    while (idle.size() < SESSIONS && refused < MOST_REFUSED && rig.record.seconds() < until) {
      try {
        Client client = new Client(proxy.front, "stock", "key-crowd", 3_000);
        idle.add(client);
        client.query("SET v1 " + "b".repeat(VALUE_BYTES));
      } catch (IOException e) {
        refused++;
        rig.record.write("tenant", "an idle session: " + e.getMessage());
      }
    }
  }
}
