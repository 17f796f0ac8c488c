package org.oleanderstep.proxy.internal.target;

import java.sql.SQLException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;

/** Removes old request ids in small batches. */
public final class RequestPurge {

  private static final Logger LOG = LogManager.getLogger(RequestPurge.class);
  // The work is for all organisations, so it queues as one of its own.
  private static final OrganisationId MAINTENANCE = new OrganisationId("(maintenance)");
  private static final int BATCH = 200;
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private final Targets targets;
  private final InstantSource wallClock;

  /** Creates the purge. */
  public RequestPurge(Targets targets, InstantSource wallClock) {
    this.targets = targets;
    this.wallClock = wallClock;
  }

  /** Removes one batch of the ids that are older than the retention; returns how many. */
  public CompletableFuture<Integer> run(DatabaseId database, Duration retention) {
    Instant before = wallClock.instant().minus(retention);
    LeaseRequest request =
        LeaseRequest.write(
            MAINTENANCE,
            false,
            LogPosition.START,
            System.nanoTime() + LIMIT.toNanos(),
            () -> false);
    return targets.run(database, request, lease -> purge(lease, before));
  }

  private static int purge(Lease lease, Instant before) {
    try {
      lease.connection().begin(LIMIT);
      return RequestLog.purge(lease.connection(), before, BATCH);
    } catch (SQLException e) {
      if (!RequestLog.isTableMissing(e)) {
        LOG.warn("old request ids were not removed: SQLSTATE {}", e.getSQLState());
      }
      return 0;
    } finally {
      lease.release();
    }
  }
}
