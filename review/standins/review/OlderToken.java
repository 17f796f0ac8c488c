package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * ONE: the machine that has promoted last is partitioned from the store when the next primary
 * crashes. The platform of this deployment does not check fences.
 */
final class OlderToken {

  private static final List<String> ZONES = List.of("z-a", "z-b", "z-c", "z-d");
  private static final int CUT_MILLIS = 5_000;
  private static final int SESSIONS = 8;

  private OlderToken() {}

  static boolean run(Recorder record, boolean trouble) throws Exception {
    try (Fleet fleet = new Fleet(record, false)) {
      Group group = fleet.addGroup("ledger", 0, List.of("i-a1", "i-b2", "i-c3", "i-d4"), ZONES);
      fleet.writeConfiguration(
          List.of(Fleet.route("orders", "ledger", "primary", 800, 0)),
          List.of(Fleet.tenant("tenant0", "key0")));
      for (int i = 0; i < 5; i++) {
        fleet.addProxy("edge-" + i, ZONES.get(i % ZONES.size()));
      }
      if (!fleet.startProxies()) {
        throw new Case.NotRunException("the processes are not ready");
      }
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < SESSIONS; i++) {
        int client = i;
        Thread thread = new Thread(() -> use(fleet, client, record));
        thread.setDaemon(true);
        clients.add(thread);
        thread.start();
      }
      Thread.sleep(3_000);
      group.primary().crash();
      Thread.sleep(12_000);
      if (fleet.orders().isEmpty()) {
        throw new Case.NotRunException("no promotion after the first crash");
      }
      if (trouble) {
        String holder = fleet.orders().get(fleet.orders().size() - 1).holder();
        Fleet.Proxy proxy =
            fleet.proxies.stream().filter(each -> each.name.equals(holder)).findFirst().get();
        record.say(holder + " is partitioned from the store");
        proxy.storeRelay.setSilent(true);
        Thread.sleep(500);
        group.primary().crash();
        Thread.sleep(CUT_MILLIS);
        proxy.storeRelay.setSilent(false);
        record.say(holder + " reaches the store again");
        Thread.sleep(3_000);
      }
      return judge(fleet, record);
    }
  }

  private static void use(Fleet fleet, int client, Recorder record) {
    int lifetime = 0;
    while (true) {
      Fleet.Proxy proxy = fleet.proxies.get((client + lifetime++) % fleet.proxies.size());
      try (Caller caller = new Caller(proxy.front, "orders", "key0", 3_000, record)) {
        while (true) {
          String item = "item" + ThreadLocalRandom.current().nextInt(200);
          caller.query(Caller.nextId(), "READ " + item);
          Thread.sleep(100);
        }
      } catch (IOException e) {
        try {
          Thread.sleep(200);
        } catch (InterruptedException interrupted) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static boolean judge(Fleet fleet, Recorder record) {
    long highest = Long.MIN_VALUE;
    boolean broken = false;
    for (Fleet.Order order : fleet.orders()) {
      if (order.token() < highest) {
        broken = true;
        record.say("ONE: " + order.holder() + " sends token " + order.token()
            + " after the platform has seen " + highest);
      }
      highest = Math.max(highest, order.token());
    }
    return broken;
  }
}
