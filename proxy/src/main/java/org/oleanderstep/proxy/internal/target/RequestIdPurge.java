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

/** Deletes request ids that are older than the retention time, in small batches. */
public final class RequestIdPurge {

  private static final Logger LOG = LogManager.getLogger(RequestIdPurge.class);
  // Purges serve all organisations, so they are queued under an organisation of their own.
  private static final OrganisationId MAINTENANCE = new OrganisationId("(maintenance)");
  private static final int BATCH_SIZE = 200;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final Targets targets;
  private final InstantSource wallClock;

  public RequestIdPurge(Targets targets, InstantSource wallClock) {
    this.targets = targets;
    this.wallClock = wallClock;
  }

  /** Deletes one batch of the ids that are older than the retention; returns the number deleted. */
  public CompletableFuture<Integer> run(DatabaseId database, Duration retention) {
    Instant before = wallClock.instant().minus(retention);
    LeaseRequest request =
        LeaseRequest.write(
            MAINTENANCE,
            false,
            LogPosition.START,
            System.nanoTime() + TIMEOUT.toNanos(),
            () -> false);
    return targets.run(database, request, lease -> purge(lease, before));
  }

  private static int purge(Lease lease, Instant before) {
    try {
      lease.connection().beginRequest(TIMEOUT);
      return RequestIdTable.purge(lease.connection(), before, BATCH_SIZE);
    } catch (SQLException e) {
      if (!RequestIdTable.isTableMissing(e)) {
        LOG.warn("old request ids could not be deleted: SQLSTATE {}", e.getSQLState());
      }
      return 0;
    } finally {
      lease.release();
    }
  }
}
