import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * All processes are killed and start again. Then a primary loses the answers of a part of the
 * requests that it runs, for some seconds. The clients leave when their time limit is over.
 */
final class LostAnswers {

  private static final int CLIENTS = 30;
  private static final int PAUSE_MILLIS = 170;
  private static final double LOST_PART = 0.2;
  private static final int LOST_MILLIS = 4_000;
  private static final double BEFORE_SECONDS = 4;
  private static final double DOWN_SECONDS = 1.2;

  /** The bound recover_s. */
  private static final double RECOVER_SECONDS = 12;

  private static final double JUDGED_SECONDS = 20;

  private record Outcome(double at, boolean served) {}

  private final Rig rig;
  private final List<Outcome> outcomes = new ArrayList<>();
  private volatile boolean stopped;

  private LostAnswers(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) {
    Case.main(arguments, LostAnswers::run);
  }

  private static int run(Path record) throws Exception {
    Group.Load load = new Group.Load();
    load.workMillis = 8;
    try (Rig rig = new Rig(record, 2, load)) {
      return new LostAnswers(rig).play();
    }
  }

  private int play() throws Exception {
    Thread.sleep(2_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread client = new Thread(() -> callRepeatedly(number), "client " + i);
      client.setDaemon(true);
      client.start();
      clients.add(client);
      Thread.sleep(PAUSE_MILLIS / CLIENTS);
    }
    double from = rig.record.seconds();
    sleepUntil(from + BEFORE_SECONDS);
    double killedAt = rig.record.seconds();
    for (Proxy each : rig.proxies) {
      each.kill();
    }
    sleepUntil(killedAt + DOWN_SECONDS);
    for (Proxy each : rig.proxies) {
      each.start();
    }
    for (Proxy each : rig.proxies) {
      each.awaitReady(30);
    }
    double backAt = rig.record.seconds();
    rig.record.write("rig", "all processes are back");
    Thread.sleep(1_000);
    if (Rig.hasTrouble()) {
      loseAnswers();
      Thread.sleep(500);
      loseAnswers();
    }
    double judgedFrom = backAt + RECOVER_SECONDS;
    sleepUntil(judgedFrom + JUDGED_SECONDS);
    stopped = true;
    for (Thread each : clients) {
      each.join(5_000);
    }
    return judge(from, killedAt, judgedFrom);
  }

  private void loseAnswers() throws InterruptedException {
    rig.record.write("primary", "loses " + LOST_PART + " of the answers for " + LOST_MILLIS + " ms");
    rig.first.lostAnswers = LOST_PART;
    Thread.sleep(LOST_MILLIS);
    rig.first.lostAnswers = 0;
    rig.record.write("primary", "loses no more answers");
  }

  private int judge(double from, double killedAt, double judgedFrom) {
    double before = servedPart("before the final fault", from, killedAt - 1);
    double after = servedPart("later than recover_s", judgedFrom, judgedFrom + JUDGED_SECONDS - 3);
    for (Proxy each : rig.proxies) {
      rig.record.write("rig", each.name + " counts as ready: " + each.isReady());
    }
    if (before < 0.25) {
      return Rig.NOT_RUN;
    }
    rig.record.write("verdict", after < 0.25 ? "BROKEN" : "HELD");
    return after < 0.25 ? Rig.BROKEN : Rig.HELD;
  }

  private double servedPart(String what, double from, double to) {
    synchronized (outcomes) {
      List<Outcome> sent =
          outcomes.stream().filter(each -> each.at >= from && each.at < to).toList();
      long served = sent.stream().filter(Outcome::served).count();
      rig.record.write("verdict", what + ": " + served + " of " + sent.size() + " requests served");
      return sent.isEmpty() ? 0 : (double) served / sent.size();
    }
  }

  private void sleepUntil(double time) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) ((time - rig.record.seconds()) * 1_000)));
  }

  /** Calls in the parts of the site: 15% order-confirm, 15% stock-view, 70% price-quote. */
  private void callRepeatedly(int number) {
    Random random = new Random(number);
    while (!stopped) {
      double kind = random.nextDouble();
      boolean served;
      double at = rig.record.seconds();
      if (kind < 0.15) {
        served = call(number, "orders", 800, random.nextDouble() < 0.35, random.nextDouble() < 0.4);
      } else if (kind < 0.3) {
        served = call(number, "stock", 2_500, false, false);
      } else {
        served = call(number, "prices", 800, random.nextDouble() < 0.12, random.nextDouble() < 0.12);
      }
      synchronized (outcomes) {
        outcomes.add(new Outcome(at, served));
      }
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean call(int number, String database, int limitMillis, boolean writes, boolean transaction) {
    String key = number % 4 < 2 ? "key-crowd" : "key-ordinary";
    String text = writes ? "WRITE i" + number + " d" : "READ i" + number;
    String last = "";
    boolean served = true;
    try (Client client =
        new Client(rig.proxies.get(number % 2).front, database, key, limitMillis)) {
      List<String> texts = transaction ? List.of("BEGIN", text, "COMMIT") : List.of(text);
      for (int i = 0; i < texts.size() && served; i++) {
        last = client.query(texts.get(i));
        served = last.startsWith("COMPLETE");
      }
    } catch (IOException e) {
      last = "no answer: " + e.getMessage();
      served = false;
    }
    rig.record.write("client " + number, (transaction ? "transaction with " : "") + text + " of " + database + ": " + last);
    return served;
  }
}
