package org.oleanderstep.standins.member.internal;

import java.security.SecureRandom;
import java.sql.SQLException;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Applies committed log entries in order and replaces the database when that is needed. */
final class Applier implements Runnable {

  private static final Logger logger = LogManager.getLogger(Applier.class);
  private static final int INCARNATION_BYTES = 8;
  private static final long PAUSE_AFTER_FAILURE_MILLIS = 500;

  private final ReplicationState state;
  private final SecureRandom random = new SecureRandom();
  private volatile MemberDatabase database;

  Applier(ReplicationState state) {
    this.state = state;
  }

  /** Returns the database of the current incarnation. */
  MemberDatabase database() throws SQLException {
    MemberDatabase current = database;
    if (current == null) {
      throw SqlStates.notServing("it is starting");
    }
    return current;
  }

  @Override
  public void run() {
    try {
      ReplicationState.Step step = state.awaitStep();
      while (step != null) {
        run(step);
        step = state.awaitStep();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      discard(database);
    }
  }

  private void run(ReplicationState.Step step) throws InterruptedException {
    if (step instanceof ReplicationState.Rebuild rebuild) {
      rebuild(rebuild);
    } else if (step instanceof ReplicationState.Apply apply) {
      apply(apply);
    }
  }

  private void rebuild(ReplicationState.Rebuild step) throws InterruptedException {
    byte[] bytes = new byte[INCARNATION_BYTES];
    random.nextBytes(bytes);
    String incarnation = HexFormat.of().formatHex(bytes);
    MemberDatabase previous = database;
    try {
      database = MemberDatabase.create(incarnation);
      state.rebuilt(step, incarnation);
    } catch (SQLException e) {
      logger.error("cannot create the database; trying again", e);
      TimeUnit.MILLISECONDS.sleep(PAUSE_AFTER_FAILURE_MILLIS);
    }
    discard(previous);
  }

  private void apply(ReplicationState.Apply step) throws InterruptedException {
    try {
      if (step.ticket() != null) {
        step.ticket().commitLocally();
      } else {
        database.apply(EntryCodec.decode(step.entry().getPayload()));
      }
      if (step.enablesWrites()) {
        database.enableWrites();
      }
      state.applied(step);
    } catch (SQLException e) {
      logger.error(
          "cannot apply log entry {}; rebuilding", step.entry().getPosition().getIndex(), e);
      state.applyFailed(step);
      TimeUnit.MILLISECONDS.sleep(PAUSE_AFTER_FAILURE_MILLIS);
    }
  }

  private static void discard(MemberDatabase database) {
    if (database == null) {
      return;
    }
    try {
      database.close();
    } catch (SQLException e) {
      logger.debug("the discarded database was already closed", e);
    }
  }
}
