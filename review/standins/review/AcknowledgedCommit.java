package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: one of two replicas receives nothing for a while and the primary crashes meanwhile. With
 * {@code sync_replicas} 1, the other replica has every acknowledged commit.
 */
final class AcknowledgedCommit {

  private static final List<String> ZONES = List.of("z-a", "z-b", "z-c", "z-d");
  private static final int DEAF_BEFORE_CRASH_MILLIS = 3_000;
  private static final int LOAD_MILLIS = 16_000;
  private static final int SESSIONS = 8;

  private AcknowledgedCommit() {}

  static boolean run(Recorder record, boolean trouble) throws Exception {
    try (Fleet fleet = new Fleet(record, true)) {
      Group group = fleet.addGroup("ledger", 1, List.of("i-a1", "i-b2", "i-c3"), ZONES);
      fleet.writeConfiguration(
          List.of(Fleet.route("orders", "ledger", "primary", 800, 0)),
          List.of(Fleet.tenant("tenant0", "key0")));
      for (int i = 0; i < 5; i++) {
        fleet.addProxy("edge-" + i, ZONES.get(i % ZONES.size()));
      }
      if (!fleet.startProxies()) {
        throw new Case.NotRunException("the processes are not ready");
      }
      AtomicInteger acknowledged = new AtomicInteger();
      long until = System.nanoTime() + LOAD_MILLIS * 1_000_000L;
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < SESSIONS; i++) {
        int client = i;
        Thread thread = new Thread(() -> use(fleet, client, until, acknowledged, record));
        clients.add(thread);
        thread.start();
      }
      Thread.sleep(3_000);
      if (trouble) {
        Database deaf = group.databases.get(2);
        deaf.deaf = true;
        record.say(deaf.id + " receives nothing from the primary any more");
        Thread.sleep(DEAF_BEFORE_CRASH_MILLIS);
        record.say("received: " + group.databases.get(1).id + " "
            + group.databases.get(1).log.size() + ", " + deaf.id + " " + deaf.log.size());
        group.databases.get(0).crash();
        Thread.sleep(500);
        deaf.deaf = false;
      }
      for (Thread thread : clients) {
        thread.join();
      }
      record.say(acknowledged.get() + " writes were acknowledged to clients, " + group.promotions()
          + " promotions, " + group.lostCommits().size()
          + " acknowledged commits are not in the log of the database that was promoted");
      if (acknowledged.get() < 100 || (trouble && group.promotions() == 0)) {
        throw new Case.NotRunException("too few writes, or no promotion");
      }
      return !group.lostCommits().isEmpty();
    }
  }

  private static void use(
      Fleet fleet, int client, long until, AtomicInteger acknowledged, Recorder record) {
    int lifetime = 0;
    while (System.nanoTime() < until) {
      Fleet.Proxy proxy = fleet.proxies.get((client + lifetime++) % fleet.proxies.size());
      try (Caller caller = new Caller(proxy.front, "orders", "key0", 3_000, record)) {
        while (System.nanoTime() < until) {
          String item = "item" + ThreadLocalRandom.current().nextInt(200);
          boolean writes = ThreadLocalRandom.current().nextInt(100) < 35;
          String id = Caller.nextId();
          Caller.Answer answer =
              caller.query(id, writes ? "WRITE " + item + " d" + id : "READ " + item);
          if (writes && answer.succeeded()) {
            acknowledged.incrementAndGet();
          }
          Thread.sleep(100);
        }
      } catch (IOException e) {
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(200);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
