package org.oleanderstep.core.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Bounded queues of organisations, served by deficit round robin in proportion to their weights.
 *
 * <pre>{@code
 * if (!queue.offer(organisation, request, deadline)) refuse(request);
 * queue.expired(now).forEach(this::refuse);
 * queue.poll(now, budget::mayAcquire).ifPresent(this::send);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 *
 * @param <T> type of the requests
 */
public final class FairQueue<T> {

  private static final double DEFAULT_WEIGHT = 1;
  // A weight far below the others would need as many rounds until its first request is served.
  private static final double LEAST_RELATIVE_WEIGHT = 0.001;

  private final int capacityPerOrganisation;
  private final Map<OrganisationId, Double> weights = new HashMap<>();
  private final Map<OrganisationId, Lane<T>> lanes = new HashMap<>();
  // Lanes with requests, in the order of their turns; the first one has the present turn.
  private final Deque<Lane<T>> active = new ArrayDeque<>();
  private int size;

  private record Entry<T>(T request, long deadline) {}

  private static final class Lane<T> {
    private final OrganisationId organisation;
    private final Deque<Entry<T>> entries = new ArrayDeque<>();
    private double deficit;
    private boolean turnStarted;

    Lane(OrganisationId organisation) {
      this.organisation = organisation;
    }
  }

  /** Creates queues that hold a number of requests for each organisation. */
  public FairQueue(int capacityPerOrganisation) {
    if (capacityPerOrganisation < 1) {
      throw new IllegalArgumentException("capacity must be positive: " + capacityPerOrganisation);
    }
    this.capacityPerOrganisation = capacityPerOrganisation;
  }

  /**
   * Sets the weight of an organisation, usually its rate; organisations start with weight one.
   *
   * @throws IllegalArgumentException if the weight is not a positive, finite number
   */
  public void setWeight(OrganisationId organisation, double weight) {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be positive: " + weight);
    }
    weights.put(organisation, weight);
  }

  /** Adds a request, unless the queue of its organisation is full. */
  public boolean offer(OrganisationId organisation, T request, long deadline) {
    Lane<T> lane = lanes.computeIfAbsent(organisation, Lane::new);
    if (lane.entries.size() >= capacityPerOrganisation) {
      return false;
    }
    if (lane.entries.isEmpty()) {
      active.add(lane);
    }
    lane.entries.add(new Entry<>(request, deadline));
    size++;
    return true;
  }

  /**
   * Removes the next request that has not expired.
   *
   * @param eligible whether a request of an organisation can be sent now; others are passed over
   *     without losing their place in proportion
   */
  public Optional<T> poll(long now, Predicate<OrganisationId> eligible) {
    List<Lane<T>> candidates =
        active.stream()
            .filter(lane -> hasUnexpired(lane, now) && eligible.test(lane.organisation))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    double unit = candidates.stream().mapToDouble(this::weight).max().orElseThrow();
    while (true) {
      Lane<T> lane = active.getFirst();
      if (!candidates.contains(lane)) {
        endTurn(lane);
        continue;
      }
      startTurn(lane, unit);
      if (lane.deficit >= 1) {
        return Optional.of(take(lane, now));
      }
      endTurn(lane);
    }
  }

  private static <T> boolean hasUnexpired(Lane<T> lane, long now) {
    return lane.entries.stream().anyMatch(entry -> entry.deadline() - now > 0);
  }

  private double weight(Lane<T> lane) {
    return weights.getOrDefault(lane.organisation, DEFAULT_WEIGHT);
  }

  private void startTurn(Lane<T> lane, double unit) {
    if (!lane.turnStarted) {
      lane.turnStarted = true;
      lane.deficit += Math.max(LEAST_RELATIVE_WEIGHT, weight(lane) / unit);
    }
  }

  private void endTurn(Lane<T> lane) {
    lane.turnStarted = false;
    active.removeFirst();
    active.addLast(lane);
  }

  // An expired request is passed over here and handed back by the next call of expired().
  private T take(Lane<T> lane, long now) {
    Iterator<Entry<T>> entries = lane.entries.iterator();
    Entry<T> entry = entries.next();
    while (entry.deadline() - now <= 0) {
      entry = entries.next();
    }
    entries.remove();
    size--;
    lane.deficit -= 1;
    if (lane.entries.isEmpty()) {
      retire(lane);
    }
    return entry.request();
  }

  // An idle organisation must not save up turns.
  private void retire(Lane<T> lane) {
    active.remove(lane);
    lanes.remove(lane.organisation);
  }

  /** Removes and returns the requests whose deadline has passed; they must be refused. */
  public List<T> expired(long now) {
    return removeIf(entry -> entry.deadline() - now <= 0);
  }

  /** Removes and returns everything, for a process that stops. */
  public List<T> drain() {
    return removeIf(entry -> true);
  }

  private List<T> removeIf(Predicate<Entry<T>> condition) {
    List<T> removed = new ArrayList<>();
    for (Lane<T> lane : List.copyOf(active)) {
      for (Iterator<Entry<T>> entries = lane.entries.iterator(); entries.hasNext(); ) {
        Entry<T> entry = entries.next();
        if (condition.test(entry)) {
          entries.remove();
          removed.add(entry.request());
        }
      }
      if (lane.entries.isEmpty()) {
        retire(lane);
      }
    }
    size -= removed.size();
    return removed;
  }

  /** Returns whether an organisation other than the given one waits. */
  public boolean othersWait(OrganisationId organisation) {
    return active.stream().anyMatch(lane -> !lane.organisation.equals(organisation));
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return size;
  }
}
