package org.oleanderstep.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.model.OrganisationId;

/**
 * The requests that wait for a connection to a member of one service: the most urgent first, and
 * within a priority in proportion to the weights of the organisations.
 *
 * <pre>{@code
 * queue.offer(request, now).ifPresent(this::refuse);
 * queue.startPass();
 * while (queue.next(now, this::tryTake).isPresent()) grantTaken();
 * queue.removeUnservable(now).forEach(this::refuse);
 * }</pre>
 *
 * <p>Built for a service that gets several times the load that it can serve, in which one
 * organisation may send most of it, and for the return of all callers at once. A request is refused
 * when it arrives if its expected wait clearly exceeds the time that it has left. Short bursts may
 * use that time up to the timeout. Once requests have waited without interruption for longer than
 * the target latency of a new one, the queue doesn't drain any more, and a new one is accepted only
 * if it can be answered within its target.
 *
 * <p>The expected wait follows from the requests ahead, how long connections are held and how many
 * are in use. Without recent measurements it is zero.
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock.
 *
 * @param <T> type of the requests
 */
public final class ServiceQueue<T extends QueuedRequest> {

  /** What members can do at this time. */
  public interface Members {

    /** Returns whether some member could be offered a request of this kind. */
    boolean available(boolean primary);

    /** Returns how many connections are in use or can soon be, at least one. */
    int concurrency(boolean primary);

    /** Returns in how many nanoseconds a member is expected to be available; zero if one is. */
    long availableInNanos(boolean primary);
  }

  /** A request that is refused. */
  public record Refused<T>(T request, QueueRefusal refusal) {}

  /** Priorities from this one on are served alike. */
  private static final int LOWEST_PRIORITY = 9;

  /** One of this many requests is taken from the least urgent ones that wait. */
  private static final int GRANTS_PER_LEAST_URGENT = 10;

  /** The expected wait must exceed the time left by this factor; the estimate is a rough one. */
  private static final double CLEARLY_WORSE = 1.25;

  /** The same for a request that waits, since refusing it late costs more than not to accept it. */
  private static final double CLEARLY_WORSE_WHILE_WAITING = 2;

  private static final double MIN_WEIGHT = 0.001;

  private static final Duration CONCURRENCY_VALIDITY = Duration.ofMillis(200);

  private static final Duration MEASUREMENT_VALIDITY = Duration.ofSeconds(5);

  private final class Lane {
    private final boolean primary;
    private final FairQueue<T> requests = new FairQueue<>(capacity, weights);
    private final RecentRate grants;
    private final Set<OrganisationId> blocked = new HashSet<>();
    private long waitingSince;

    private Lane(boolean primary, long now) {
      this.primary = primary;
      grants = new RecentRate(now);
    }
  }

  private final int capacity;
  private final Members members;
  private final RandomGenerator random;
  private final Map<OrganisationId, Double> weights = new HashMap<>();
  // By priority, with two lanes each: for the primary only, and for any member.
  private final List<List<Lane>> levels = new ArrayList<>();
  private final RecentMean primaryHoldTime = new RecentMean(MEASUREMENT_VALIDITY);
  private final RecentMean holdTime = new RecentMean(MEASUREMENT_VALIDITY);
  private final RecentMean openingPerGrant = new RecentMean(MEASUREMENT_VALIDITY);
  private final RecentMean primaryConcurrency = new RecentMean(CONCURRENCY_VALIDITY);
  private final RecentMean concurrency = new RecentMean(CONCURRENCY_VALIDITY);
  private int size;
  private int grantsToOthers;

  /**
   * Creates an empty queue.
   *
   * @param capacity requests that may wait at the same time
   */
  public ServiceQueue(int capacity, Members members, RandomGenerator random, long now) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be positive: " + capacity);
    }
    this.capacity = capacity;
    this.members = members;
    this.random = random;
    for (int priority = 0; priority <= LOWEST_PRIORITY; priority++) {
      levels.add(List.of(new Lane(true, now), new Lane(false, now)));
    }
  }

  /** Sets the weights of organisations, usually their rates; those of others stay. */
  public void setWeights(Map<OrganisationId, Double> update) {
    update.forEach(
        (organisation, weight) -> weights.put(organisation, Math.max(MIN_WEIGHT, weight)));
  }

  private static int level(QueuedRequest request) {
    return Math.max(0, Math.min(LOWEST_PRIORITY, request.priority()));
  }

  private Lane lane(QueuedRequest request) {
    return levels.get(level(request)).get(request.needsPrimary() ? 0 : 1);
  }

  /** Records how long a connection was held for a request. */
  public void recordHoldTime(boolean primary, long nanos, long now) {
    (primary ? primaryHoldTime : holdTime).record(nanos, now);
  }

  /** Records how long a request has waited until its connection was open; zero if it was before. */
  public void recordOpening(long nanos, long now) {
    openingPerGrant.record(nanos, now);
  }

  /**
   * Adds a request, unless it can't be served in time or others go first in a full queue.
   *
   * @return the request that is refused, which may be another one
   */
  public Optional<Refused<T>> offer(T request, long now) {
    Lane lane = lane(request);
    long estimate = estimateNanos(lane, level(request), ahead(lane, request), now);
    Optional<QueueRefusal> refusal =
        judge(
            lane,
            estimate,
            allowedWait(request, lane, now),
            CLEARLY_WORSE,
            QueueRefusal.Reason.ON_ARRIVAL);
    if (refusal.isPresent()) {
      return Optional.of(new Refused<>(request, refusal.get()));
    }
    Optional<T> victim = size < capacity ? Optional.empty() : Optional.of(victim(request));
    if (victim.isEmpty() || victim.get() != request) {
      victim.ifPresent(this::remove);
      add(lane, request, now);
    }
    return victim.map(
        shed ->
            new Refused<>(
                shed,
                QueueRefusal.of(QueueRefusal.Reason.SHED, estimate, shed.targetNanos(), random)));
  }

  private double ahead(Lane lane, T request) {
    return lane.requests.ahead(request.organisation());
  }

  private void add(Lane lane, T request, long now) {
    if (lane.requests.size() == 0) {
      lane.waitingSince = now;
    }
    lane.requests.offer(request.organisation(), request, request.expiresAt());
    size++;
  }

  /** Returns the request that has to go from a full queue: that of the highest load, the newest. */
  private T victim(T arriving) {
    for (int level = LOWEST_PRIORITY; level >= level(arriving); level--) {
      for (Lane lane : levels.get(level)) {
        Optional<T> newest = lane.requests.newestOfHighestLoad();
        if (newest.isPresent()
            && (level > level(arriving) || hasMoreLoad(newest.get(), arriving))) {
          return newest.get();
        }
      }
    }
    return arriving;
  }

  private boolean hasMoreLoad(T newest, T arriving) {
    return lane(newest).requests.load(newest.organisation())
        > lane(arriving).requests.load(arriving.organisation());
  }

  /**
   * Returns the expected wait of a request in nanoseconds.
   *
   * @param ahead requests of the same priority that go first
   */
  private long estimateNanos(Lane lane, int level, double ahead, long now) {
    if (!members.available(lane.primary)) {
      return members.availableInNanos(lane.primary);
    }
    OptionalLong hold = (lane.primary ? primaryHoldTime : holdTime).nanos(now);
    int urgentWaiting = 0;
    double urgentRate = 0;
    for (Lane urgent : moreUrgent(lane, level)) {
      urgentWaiting += urgent.requests.size();
      urgentRate += urgent.grants.perNano(now);
    }
    if (hold.isEmpty() || urgentWaiting + ahead == 0) {
      return 0;
    }
    double held = hold.getAsLong() + openingPerGrant.nanos(now).orElse(0);
    double nanosPerGrant = held / concurrency(lane.primary, now);
    double guaranteed = 1.0 / GRANTS_PER_LEAST_URGENT;
    double share = Math.max(guaranteed, 1 - urgentRate * nanosPerGrant);
    double inTurn = urgentWaiting + (ahead + 1) / share;
    return (long) (nanosPerGrant * Math.min(inTurn, (ahead + 1) / guaranteed));
  }

  // The number of connections in use changes with each opening; a mean over ten ticks doesn't.
  private double concurrency(boolean primary, long now) {
    long thousandths = (primary ? primaryConcurrency : concurrency).nanos(now).orElse(0);
    return thousandths > 0 ? thousandths / 1_000.0 : members.concurrency(primary);
  }

  private void sampleConcurrency(long now) {
    primaryConcurrency.record(1_000L * members.concurrency(true), now);
    concurrency.record(1_000L * members.concurrency(false), now);
  }

  private List<Lane> moreUrgent(Lane lane, int level) {
    return levels.subList(0, level).stream()
        .flatMap(List::stream)
        .filter(other -> other.primary == lane.primary)
        .toList();
  }

  private Optional<QueueRefusal> judge(
      Lane lane, long estimate, long allowed, double factor, QueueRefusal.Reason late) {
    if (!members.available(lane.primary)) {
      return estimate > allowed
          ? Optional.of(QueueRefusal.of(QueueRefusal.Reason.NO_MEMBER, estimate, estimate, random))
          : Optional.empty();
    }
    return estimate > factor * allowed
        ? Optional.of(QueueRefusal.of(late, estimate, estimate - allowed, random))
        : Optional.empty();
  }

  private long allowedWait(T request, Lane lane, long now) {
    long left = request.expiresAt() - now;
    boolean standing = lane.requests.size() > 0 && now - lane.waitingSince > request.targetNanos();
    if (!standing || !members.available(lane.primary)) {
      return left;
    }
    long hold = (lane.primary ? primaryHoldTime : holdTime).nanos(now).orElse(0);
    return Math.max(0, Math.min(left, request.targetAt() - hold - now));
  }

  /** Starts a pass in which each request is tried once at most. */
  public void startPass() {
    for (List<Lane> level : levels) {
      level.forEach(lane -> lane.blocked.clear());
    }
  }

  /**
   * Removes and returns the next request that can be taken.
   *
   * @param take takes what the request needs, and returns whether it could
   */
  public Optional<T> next(long now, Predicate<T> take) {
    if (size == 0) {
      return Optional.empty();
    }
    if (grantsToOthers >= GRANTS_PER_LEAST_URGENT - 1) {
      Optional<T> taken = nextOf(leastUrgent(), now, take);
      if (taken.isPresent()) {
        grantsToOthers = 0;
        return taken;
      }
    }
    for (int level = 0; level <= LOWEST_PRIORITY; level++) {
      boolean othersWait = level < leastUrgent();
      Optional<T> taken = nextOf(level, now, take);
      if (taken.isPresent()) {
        grantsToOthers = othersWait ? grantsToOthers + 1 : 0;
        return taken;
      }
    }
    return Optional.empty();
  }

  /**
   * Removes and returns a request of an organisation that has a free connection, so that the
   * connection need not be replaced by one of another organisation.
   *
   * @param anyPriority whether requests of other organisations may be more urgent; a connection
   *     that was opened for a request has cost a member as much as a statement
   */
  public Optional<T> nextOf(
      OrganisationId organisation, boolean anyPriority, long now, Predicate<T> take) {
    for (List<Lane> level : levels) {
      for (Lane lane : level) {
        if (lane.requests.size() > 0 && members.available(lane.primary)) {
          Optional<T> taken = lane.requests.pollAhead(now, organisation, take);
          if (taken.isPresent()) {
            onTaken(lane, now);
            return taken;
          }
        }
      }
      if (!anyPriority && level.stream().anyMatch(lane -> lane.requests.size() > 0)) {
        return Optional.empty();
      }
    }
    return Optional.empty();
  }

  private int leastUrgent() {
    for (int level = LOWEST_PRIORITY; level > 0; level--) {
      if (levels.get(level).stream().anyMatch(lane -> lane.requests.size() > 0)) {
        return level;
      }
    }
    return 0;
  }

  private Optional<T> nextOf(int level, long now, Predicate<T> take) {
    for (Lane lane : levels.get(level)) {
      if (lane.requests.size() > 0 && members.available(lane.primary)) {
        Optional<T> taken = lane.requests.pollNext(now, lane.blocked, take);
        if (taken.isPresent()) {
          onTaken(lane, now);
          return taken;
        }
      }
    }
    return Optional.empty();
  }

  private void onTaken(Lane lane, long now) {
    size--;
    lane.grants.record(now);
  }

  /** Removes a request, and returns whether it was waiting. */
  public boolean remove(T request) {
    boolean removed = lane(request).requests.remove(request.organisation(), request);
    size -= removed ? 1 : 0;
    return removed;
  }

  /**
   * Removes and returns the requests that have expired or that can't be served in time any more.
   */
  public List<Refused<T>> removeUnservable(long now) {
    List<Refused<T>> unservable = new ArrayList<>();
    if (size == 0) {
      return unservable;
    }
    sampleConcurrency(now);
    for (int level = 0; level <= LOWEST_PRIORITY; level++) {
      for (Lane lane : levels.get(level)) {
        if (lane.requests.size() > 0) {
          collectUnservable(lane, level, now, unservable);
        }
      }
    }
    unservable.forEach(refused -> remove(refused.request()));
    return unservable;
  }

  private void collectUnservable(Lane lane, int level, long now, List<Refused<T>> unservable) {
    long first = estimateNanos(lane, level, 0, now);
    long second = estimateNanos(lane, level, 1, now);
    boolean available = members.available(lane.primary);
    for (FairQueue.Position<T> position : lane.requests.positions()) {
      T request = position.request();
      // Linear in the requests ahead, so that one pass needs no estimate for each request.
      long estimate = available ? (long) (first + position.ahead() * (second - first)) : first;
      refusal(request, lane, estimate, now)
          .ifPresent(refusal -> unservable.add(new Refused<>(request, refusal)));
    }
  }

  private Optional<QueueRefusal> refusal(T request, Lane lane, long estimate, long now) {
    if (request.expiresAt() - now <= 0) {
      return Optional.of(QueueRefusal.of(QueueRefusal.Reason.EXPIRED, estimate, estimate, random));
    }
    if (estimate == 0) {
      return Optional.empty();
    }
    // A request that will miss its target, but not its timeout, has waited for too long to refuse
    // it.
    long left = request.expiresAt() - now;
    return judge(
        lane, estimate, left, CLEARLY_WORSE_WHILE_WAITING, QueueRefusal.Reason.ESTIMATE_ROSE);
  }

  /** Removes and returns all requests. */
  public List<T> drain() {
    List<T> all = new ArrayList<>();
    levels.forEach(level -> level.forEach(lane -> all.addAll(lane.requests.drain())));
    size = 0;
    return all;
  }

  /** Returns whether a request waits that only the primary may serve. */
  public boolean needsPrimary() {
    return levels.stream().anyMatch(level -> level.get(0).requests.size() > 0);
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return size;
  }
}
