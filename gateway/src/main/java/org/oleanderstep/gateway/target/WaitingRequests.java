package org.oleanderstep.gateway.target;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.oleanderstep.core.model.OrganisationId;

/** The requests of a service that wait for a connection. Times are monotonic nanoseconds. */
interface WaitingRequests {

  /** Takes a connection for a request. */
  interface Taker {

    /**
     * Leases a connection for a request, or opens one that the request may await.
     *
     * @param mayOpen whether a connection may be opened
     */
    Optional<Lease> tryTake(LeaseRequest request, boolean mayOpen);
  }

  /**
   * A free connection.
   *
   * @param unused whether it has never been leased
   */
  record Idle(OrganisationId organisation, boolean unused) {}

  /** Adds a request; may refuse it, or another one, at once. */
  void submit(LeaseRequest request, long now);

  /** Removes a request that is no longer needed. */
  void cancel(LeaseRequest request);

  /** Grants all requests for which a connection can be taken. */
  void grant(Taker taker, Supplier<List<Idle>> idle, long now);

  /** Refuses all requests, because no member may be used. */
  void refuseAll(String reason);

  /** Refuses the requests that can't be served in time any more. */
  void tick(long now);

  /** Returns whether a request waits that only the primary may serve. */
  boolean needsPrimary();

  /** Returns whether no request waits. */
  boolean isEmpty();

  /** Records how long a connection was leased. */
  void recordHoldTime(boolean ofPrimary, long nanos, long now);

  /** Records how long a granted request has waited until its connection was open, or zero. */
  void recordOpening(long nanos, long now);

  /** Sets the weights of organisations, usually their rates. */
  void setWeights(Map<OrganisationId, Double> weights);
}
