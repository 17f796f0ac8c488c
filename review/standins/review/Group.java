package review;

import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A service: one primary and its replicas, their logs and the term. */
final class Group {

  /** Time on the network from the primary to a replica. */
  private static final int NETWORK_MILLIS = 2;

  /** Time after which a replica applies what it has received. */
  private static final int APPLY_MILLIS = 60;

  private static final int PROMOTE_MILLIS = 300;

  /** A commit that writes. */
  static final class Commit {
    final long term;
    final int number;
    final String id;
    final Map<String, String> writes;
    private boolean received;

    private Commit(long term, int number, String id, Map<String, String> writes) {
      this.term = term;
      this.number = number;
      this.id = id;
      this.writes = writes;
    }
  }

  final String name;
  final int syncReplicas;
  final List<Database> databases = new ArrayList<>();
  private final ScheduledExecutorService timer;
  private final Recorder record;
  private long term = 3;
  private int promotions;
  private final Map<Integer, Commit> acknowledged = new LinkedHashMap<>();
  private final List<String> lost = new ArrayList<>();

  Group(String name, int syncReplicas, ScheduledExecutorService timer, Recorder record) {
    this.name = name;
    this.syncReplicas = syncReplicas;
    this.timer = timer;
    this.record = record;
  }

  Database add(String id, InetAddress ip, String zone, Store store) throws IOException {
    Database database = new Database(id, this, ip, zone, store, record, databases.isEmpty());
    databases.add(database);
    return database;
  }

  synchronized long term() {
    return term;
  }

  synchronized Database primary() {
    return databases.stream().filter(Database::isPrimary).findFirst().orElse(null);
  }

  /**
   * Commits writes at the primary. Returns once the commit may be acknowledged; returns null if the
   * database has lost the lead or ended meanwhile.
   */
  synchronized Commit commit(Database primary, String id, Map<String, String> writes)
      throws InterruptedException {
    if (!primary.isPrimary() || !primary.isRunning()) {
      return null;
    }
    Commit commit = new Commit(term, primary.log.size() + 1, id, Map.copyOf(writes));
    primary.log.add(commit);
    primary.applied = primary.log.size();
    for (Database replica : databases) {
      if (replica != primary) {
        timer.schedule(
            () -> receive(primary, replica, commit), NETWORK_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
    while (syncReplicas > 0 && !commit.received) {
      wait(100);
      if (!primary.isPrimary() || !primary.isRunning()) {
        return null;
      }
    }
    acknowledged.put(commit.number, commit);
    return commit;
  }

  /** A replica receives, in order, all that it lacks up to a commit. */
  private synchronized void receive(Database from, Database replica, Commit commit) {
    if (!from.isRunning() || !from.isPrimary() || !replica.isRunning() || replica.deaf) {
      return;
    }
    while (replica.log.size() < commit.number) {
      Commit next = from.log.get(replica.log.size());
      replica.log.add(next);
      next.received = true;
    }
    notifyAll();
    long termWhenReceived = term;
    timer.schedule(
        () -> apply(replica, commit.number, termWhenReceived), APPLY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private synchronized void apply(Database replica, int number, long termWhenReceived) {
    if (term == termWhenReceived) {
      replica.applied = Math.max(replica.applied, Math.min(number, replica.log.size()));
    }
  }

  /** Lets the named database lead the next term; returns false if it is not running. */
  synchronized boolean promote(String id, String holder, long token) {
    Database next =
        databases.stream().filter(each -> each.id.equals(id)).findFirst().orElse(null);
    if (next == null || !next.isRunning()) {
      return false;
    }
    if (next.isPrimary()) {
      return true;
    }
    record.say("promotion of " + id + " of " + name + " accepted from " + holder + ", token " + token);
    timer.schedule(() -> lead(next), PROMOTE_MILLIS, TimeUnit.MILLISECONDS);
    return true;
  }

  private synchronized void lead(Database next) {
    if (!next.isRunning() || next.isPrimary()) {
      return;
    }
    term++;
    promotions++;
    int kept = next.log.size();
    next.applied = kept;
    for (Database each : databases) {
      each.follow(each == next);
      while (each.log.size() > kept) {
        each.log.remove(each.log.size() - 1);
      }
      each.applied = Math.min(each.applied, kept);
    }
    for (Commit commit : acknowledged.values()) {
      if (commit.number > kept || next.log.get(commit.number - 1) != commit) {
        lost.add(commit.id);
        record.add("acknowledged commit " + commit.term + "." + commit.number + " of " + commit.id
            + " is not in the log of " + next.id);
      }
    }
    acknowledged.values().removeIf(commit -> lost.contains(commit.id));
    record.say(next.id + " leads " + name + " in term " + term + " with " + kept + " commits; "
        + lost.size() + " acknowledged commits are not in its log");
    notifyAll();
  }

  synchronized int promotions() {
    return promotions;
  }

  /** Returns the ids of acknowledged commits that a promoted database lacked. */
  synchronized List<String> lostCommits() {
    return List.copyOf(lost);
  }

  synchronized int acknowledgedCommits() {
    return acknowledged.size() + lost.size();
  }
}
