package org.oleanderstep.proxy.internal.traffic;

import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.OrganisationId;

/**
 * The control side as traffic threads see it.
 *
 * <p>All methods may be called by any thread and none blocks. The implementation calls {@link
 * TrafficPlane#onSnapshot} after each new snapshot.
 */
public interface ControlPlane {

  /** Returns the last published snapshot. */
  ControlSnapshot snapshot();

  /** Hands an event to the control thread; drops it when the control thread is far behind. */
  void report(TrafficEvent event);

  /**
   * Asks all members of a database for their status with requests sent after this call.
   *
   * <p>Calls at about the same time share the requests. Once the answers prove a position, a
   * snapshot is published whose {@link org.oleanderstep.core.routing.GroupView#positionAsOf} has it
   * for the time of this call; while a majority or the primary does not answer, none does.
   */
  void askMembers(DatabaseId database);

  /**
   * Takes one token of the organisation's rate, waiting for peers for a short time if need be.
   *
   * @param deadlineNanos end of the caller's patience, on the clock of {@code System.nanoTime}
   */
  CompletableFuture<Admission> admit(OrganisationId organisation, long deadlineNanos);
}
