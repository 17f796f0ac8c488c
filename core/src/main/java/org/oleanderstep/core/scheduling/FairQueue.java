package org.oleanderstep.core.scheduling;

import java.util.List;
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
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class FairQueue<T> {

  /** Creates queues that hold a number of requests for each organisation. */
  public FairQueue(int capacityPerOrganisation) {
    throw new UnsupportedOperationException("" + capacityPerOrganisation);
  }

  /** Sets the weight of an organisation, usually its rate; organisations start with weight one. */
  public void setWeight(OrganisationId organisation, double weight) {
    throw new UnsupportedOperationException(organisation + " " + weight);
  }

  /** Adds a request, unless the queue of its organisation is full. */
  public boolean offer(OrganisationId organisation, T request, long deadline) {
    throw new UnsupportedOperationException(organisation + " " + request + deadline);
  }

  /**
   * Removes the next request that has not expired.
   *
   * @param eligible whether a request of an organisation can be sent now; others are passed over
   */
  public Optional<T> poll(long now, Predicate<OrganisationId> eligible) {
    throw new UnsupportedOperationException(now + " " + eligible);
  }

  /** Removes and returns the requests whose deadline has passed; they must be refused. */
  public List<T> expired(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Removes and returns everything, for a process that stops. */
  public List<T> drain() {
    throw new UnsupportedOperationException();
  }

  /** Returns whether an organisation other than the given one waits. */
  public boolean othersWait(OrganisationId organisation) {
    throw new UnsupportedOperationException(organisation.toString());
  }

  /** Returns the number of requests that wait. */
  public int size() {
    throw new UnsupportedOperationException();
  }
}
