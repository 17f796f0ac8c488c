package org.oleanderstep.proxy.internal.traffic;

import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;

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
   * Asks the primary for its status after this call and completes with its applied position, or
   * exceptionally when no primary answered in time.
   */
  CompletableFuture<LogPosition> freshPrimaryPosition(DatabaseId database);

  /**
   * Takes one token of the organisation's rate, waiting for peers for a short time if need be.
   *
   * @param deadlineNanos end of the caller's patience, on the clock of {@code System.nanoTime}
   */
  CompletableFuture<Admission> admit(OrganisationId organisation, long deadlineNanos);
}
