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
 * Bounded request queues, one for each organisation, served by deficit round robin in proportion to
 * the weights of the organisations.
 *
 * <pre>{@code
 * if (!queue.offer(organisation, request, deadline)) refuse(request);
 * queue.removeExpired(now).forEach(this::refuse);
 * queue.poll(now, budget::mayAcquire).ifPresent(this::send);
 * }</pre>
 *
 * <p>Not thread-safe.
 *
 * @param <T> type of the requests
 */
public final class FairQueue<T> {

  private static final double DEFAULT_WEIGHT = 1;
  // The smallest quantum that a queue is given in a round. It bounds the number of rounds until the
  // first request of an organisation with a very small weight is served.
  private static final double MIN_QUANTUM = 0.001;

  private final int capacityPerOrganisation;
  private final Map<OrganisationId, Double> weights = new HashMap<>();
  private final Map<OrganisationId, OrganisationQueue<T>> queues = new HashMap<>();
  // Queues that are not empty, in round-robin order; the first one is being served.
  private final Deque<OrganisationQueue<T>> activeQueues = new ArrayDeque<>();
  private int size;

  private record Entry<T>(T request, long deadline) {}

  private static final class OrganisationQueue<T> {
    private final OrganisationId organisation;
    private final Deque<Entry<T>> entries = new ArrayDeque<>();
    private double deficit;
    private boolean quantumAdded;

    OrganisationQueue(OrganisationId organisation) {
      this.organisation = organisation;
    }
  }

  /** Creates queues that each hold at most the given number of requests. */
  public FairQueue(int capacityPerOrganisation) {
    if (capacityPerOrganisation < 1) {
      throw new IllegalArgumentException("capacity must be positive: " + capacityPerOrganisation);
    }
    this.capacityPerOrganisation = capacityPerOrganisation;
  }

  /**
   * Sets the weight of an organisation, usually its rate; the default weight is one.
   *
   * @throws IllegalArgumentException if the weight is not a positive, finite number
   */
  public void setWeight(OrganisationId organisation, double weight) {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be positive and finite: " + weight);
    }
    weights.put(organisation, weight);
  }

  /** Adds a request unless its organisation's queue is full, and returns whether it did. */
  public boolean offer(OrganisationId organisation, T request, long deadline) {
    OrganisationQueue<T> queue = queues.computeIfAbsent(organisation, OrganisationQueue::new);
    if (queue.entries.size() >= capacityPerOrganisation) {
      return false;
    }
    if (queue.entries.isEmpty()) {
      activeQueues.add(queue);
    }
    queue.entries.add(new Entry<>(request, deadline));
    size++;
    return true;
  }

  /**
   * Removes and returns the next request that has not expired.
   *
   * @param eligible whether a request of an organisation can be sent now; the other organisations
   *     are skipped and keep their deficit
   */
  public Optional<T> poll(long now, Predicate<OrganisationId> eligible) {
    List<OrganisationQueue<T>> candidates =
        activeQueues.stream()
            .filter(queue -> hasUnexpired(queue, now) && eligible.test(queue.organisation))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    double maxWeight = candidates.stream().mapToDouble(this::weight).max().orElseThrow();
    while (true) {
      OrganisationQueue<T> queue = activeQueues.getFirst();
      if (!candidates.contains(queue)) {
        moveToBack(queue);
        continue;
      }
      addQuantum(queue, maxWeight);
      if (queue.deficit >= 1) {
        return Optional.of(removeFirstUnexpired(queue, now));
      }
      moveToBack(queue);
    }
  }

  private static <T> boolean hasUnexpired(OrganisationQueue<T> queue, long now) {
    return queue.entries.stream().anyMatch(entry -> entry.deadline() - now > 0);
  }

  private double weight(OrganisationQueue<T> queue) {
    return weights.getOrDefault(queue.organisation, DEFAULT_WEIGHT);
  }

  private void addQuantum(OrganisationQueue<T> queue, double maxWeight) {
    if (!queue.quantumAdded) {
      queue.quantumAdded = true;
      queue.deficit += Math.max(MIN_QUANTUM, weight(queue) / maxWeight);
    }
  }

  private void moveToBack(OrganisationQueue<T> queue) {
    queue.quantumAdded = false;
    activeQueues.removeFirst();
    activeQueues.addLast(queue);
  }

  // Skips expired requests; the next call of removeExpired() returns them.
  private T removeFirstUnexpired(OrganisationQueue<T> queue, long now) {
    Iterator<Entry<T>> entries = queue.entries.iterator();
    Entry<T> entry = entries.next();
    while (entry.deadline() - now <= 0) {
      entry = entries.next();
    }
    entries.remove();
    size--;
    queue.deficit -= 1;
    if (queue.entries.isEmpty()) {
      removeQueue(queue);
    }
    return entry.request();
  }

  // Drops the deficit too, because an idle organisation must not save up credit.
  private void removeQueue(OrganisationQueue<T> queue) {
    activeQueues.remove(queue);
    queues.remove(queue.organisation);
  }

  /** Removes and returns the requests whose deadline has passed; the caller must refuse them. */
  public List<T> removeExpired(long now) {
    return removeIf(entry -> entry.deadline() - now <= 0);
  }

  /** Removes and returns all requests, for shutdown. */
  public List<T> drain() {
    return removeIf(entry -> true);
  }

  private List<T> removeIf(Predicate<Entry<T>> condition) {
    List<T> removed = new ArrayList<>();
    for (OrganisationQueue<T> queue : List.copyOf(activeQueues)) {
      for (Iterator<Entry<T>> entries = queue.entries.iterator(); entries.hasNext(); ) {
        Entry<T> entry = entries.next();
        if (condition.test(entry)) {
          entries.remove();
          removed.add(entry.request());
        }
      }
      if (queue.entries.isEmpty()) {
        removeQueue(queue);
      }
    }
    size -= removed.size();
    return removed;
  }

  /** Returns whether an organisation other than the given one has waiting requests. */
  public boolean othersWait(OrganisationId organisation) {
    return activeQueues.stream().anyMatch(queue -> !queue.organisation.equals(organisation));
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return size;
  }
}
