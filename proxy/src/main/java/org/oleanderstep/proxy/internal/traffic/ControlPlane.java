package org.oleanderstep.proxy.internal.traffic;

import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.OrganisationId;

/**
 * The control plane as seen by traffic threads.
 *
 * <p>All methods may be called by any thread and none blocks. The implementation calls {@link
 * TrafficPlane#onSnapshot} after each new snapshot.
 */
public interface ControlPlane {

  /** Returns the last published snapshot. */
  ControlSnapshot snapshot();

  /**
   * Queues an event for the control thread; the event is dropped if the queue of the control thread
   * is full.
   */
  void report(TrafficEvent event);

  /**
   * Requests the status of all members of a database; the requests are sent after this call.
   *
   * <p>Concurrent calls share the requests. Once the replies confirm a position, a snapshot is
   * published whose {@link org.oleanderstep.core.routing.GroupView#positionAsOf} returns it for the
   * time of this call. Without replies from a majority and the primary no position is confirmed.
   */
  void requestMemberStatus(DatabaseId database);

  /**
   * Takes one token of the organisation's rate; waits briefly for tokens from peers if none is
   * left.
   *
   * @param deadlineNanos deadline of the caller, on the clock of {@code System.nanoTime}
   */
  CompletableFuture<Admission> admit(OrganisationId organisation, long deadlineNanos);
}
