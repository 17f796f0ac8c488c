package org.oleanderstep.core.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * <p>Where it depends on each request whether it can be sent, {@link #pollNext} serves in the same
 * proportions at a cost that is linear in the number of organisations. Use either method on one
 * queue, not both.
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

  // Requests of one organisation that are tried in a pass. A read that only the primary can serve
  // must not hold up all reads behind it.
  private static final int REQUESTS_TRIED = 4;
  // Requests that an organisation may be served ahead of its turn. Opening a connection for another
  // organisation takes a member as long as one or two statements; with six in a row, that is less
  // than a quarter of its time.
  private static final double MAX_DEBT = 6;

  private final int capacityPerOrganisation;
  private final Map<OrganisationId, Double> weights;
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
    this(capacityPerOrganisation, new HashMap<>());
  }

  /** Creates queues that share the weights of organisations with other queues. */
  FairQueue(int capacityPerOrganisation, Map<OrganisationId, Double> weights) {
    if (capacityPerOrganisation < 1) {
      throw new IllegalArgumentException("capacity must be positive: " + capacityPerOrganisation);
    }
    this.capacityPerOrganisation = capacityPerOrganisation;
    this.weights = weights;
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

  /** A place in the order of service: after how many rounds a queue may be served. */
  private record Turn<T>(OrganisationQueue<T> queue, double quantum, double rounds) {}

  /**
   * Removes and returns the next request that has not expired and can be taken. One pass over all
   * organisations needs one set of blocked ones, however many requests it serves.
   *
   * @param blocked organisations that are skipped and get no credit; those without a request that
   *     can be taken are added
   * @param take takes what the request needs, and returns whether it could
   */
  public Optional<T> pollNext(long now, Set<OrganisationId> blocked, Predicate<T> take) {
    List<Turn<T>> turns = turns(now, blocked);
    for (Turn<T> turn : turns) {
      Optional<Entry<T>> taken = firstTaken(turn.queue(), now, take);
      if (taken.isPresent()) {
        turns.forEach(other -> addCredit(other, turn.rounds(), blocked));
        return Optional.of(serve(turn.queue(), taken.get()));
      }
      blocked.add(turn.queue().organisation);
    }
    return Optional.empty();
  }

  /**
   * Removes and returns the next request of one organisation, unless it has been served too far
   * ahead of its turn. Later turns make up for it.
   */
  public Optional<T> pollAhead(long now, OrganisationId organisation, Predicate<T> take) {
    OrganisationQueue<T> queue = queues.get(organisation);
    if (queue == null || queue.deficit - 1 < -MAX_DEBT) {
      return Optional.empty();
    }
    return firstTaken(queue, now, take).map(entry -> serve(queue, entry));
  }

  private List<Turn<T>> turns(long now, Set<OrganisationId> blocked) {
    double maxWeight = 0;
    List<OrganisationQueue<T>> candidates = new ArrayList<>();
    for (OrganisationQueue<T> queue : activeQueues) {
      if (!blocked.contains(queue.organisation) && hasUnexpired(queue, now)) {
        candidates.add(queue);
        maxWeight = Math.max(maxWeight, weight(queue));
      }
    }
    List<Turn<T>> turns = new ArrayList<>();
    for (OrganisationQueue<T> queue : candidates) {
      double quantum = Math.max(MIN_QUANTUM, weight(queue) / maxWeight);
      double rounds = Math.max(0, Math.ceil((1 - queue.deficit) / quantum));
      turns.add(new Turn<>(queue, quantum, rounds));
    }
    turns.sort(Comparator.comparingDouble(Turn::rounds));
    return turns;
  }

  private Optional<Entry<T>> firstTaken(OrganisationQueue<T> queue, long now, Predicate<T> take) {
    int tried = 0;
    for (Entry<T> entry : queue.entries) {
      if (entry.deadline() - now <= 0) {
        continue;
      }
      if (take.test(entry.request())) {
        return Optional.of(entry);
      }
      tried++;
      if (tried >= REQUESTS_TRIED) {
        break;
      }
    }
    return Optional.empty();
  }

  private void addCredit(Turn<T> turn, double rounds, Set<OrganisationId> blocked) {
    if (!blocked.contains(turn.queue().organisation)) {
      turn.queue().deficit += rounds * turn.quantum();
    }
  }

  private T serve(OrganisationQueue<T> queue, Entry<T> entry) {
    queue.entries.remove(entry);
    size--;
    queue.deficit -= 1;
    if (queue.entries.isEmpty()) {
      removeQueue(queue);
    } else {
      activeQueues.remove(queue);
      activeQueues.addLast(queue);
    }
    return entry.request();
  }

  /** Removes a request that is no longer needed, and returns whether it was waiting. */
  public boolean remove(OrganisationId organisation, T request) {
    OrganisationQueue<T> queue = queues.get(organisation);
    if (queue == null || !queue.entries.removeIf(entry -> entry.request() == request)) {
      return false;
    }
    size--;
    if (queue.entries.isEmpty()) {
      removeQueue(queue);
    }
    return true;
  }

  /** A request and the number of requests that are expected to be served before it. */
  public record Position<T>(T request, double ahead) {}

  /** Returns all requests with their places, each organisation's in order. */
  public List<Position<T>> positions() {
    double totalWeight = totalActiveWeight();
    List<Position<T>> positions = new ArrayList<>();
    for (OrganisationQueue<T> queue : activeQueues) {
      int index = 0;
      for (Entry<T> entry : queue.entries) {
        positions.add(new Position<>(entry.request(), ahead(queue, index, totalWeight)));
        index++;
      }
    }
    return positions;
  }

  /** Returns how many requests are expected to be served before a new one of an organisation. */
  public double ahead(OrganisationId organisation) {
    OrganisationQueue<T> queue = queues.get(organisation);
    double totalWeight = totalActiveWeight();
    if (queue != null) {
      return ahead(queue, queue.entries.size(), totalWeight);
    }
    double weight = weights.getOrDefault(organisation, DEFAULT_WEIGHT);
    return Math.min(size, totalWeight / weight);
  }

  private double ahead(OrganisationQueue<T> queue, int index, double totalWeight) {
    int others = size - queue.entries.size();
    double othersShare = (totalWeight - weight(queue)) / weight(queue);
    return index + Math.min(others, (index + 1) * othersShare);
  }

  private double totalActiveWeight() {
    return activeQueues.stream().mapToDouble(this::weight).sum();
  }

  /** Returns the number of waiting requests of an organisation in relation to its weight. */
  public double load(OrganisationId organisation) {
    OrganisationQueue<T> queue = queues.get(organisation);
    return queue == null ? 0 : queue.entries.size() / weight(queue);
  }

  /** Returns the newest request of the organisation with the highest load. */
  public Optional<T> newestOfHighestLoad() {
    return activeQueues.stream()
        .max(Comparator.comparingDouble(queue -> queue.entries.size() / weight(queue)))
        .map(queue -> queue.entries.getLast().request());
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
