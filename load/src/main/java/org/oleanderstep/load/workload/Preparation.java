package org.oleanderstep.load.workload;

import java.sql.SQLException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;

/** Repeats steps of the preparation while a fleet that has just started refuses them. */
final class Preparation {

  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final Duration PAUSE = Duration.ofMillis(100);

  private Preparation() {}

  /** A step that may be run again after a failure. */
  @FunctionalInterface
  interface Step {
    void run() throws SQLException;
  }

  /**
   * Runs the step until it succeeds; token buckets are empty after a start, so the first statements
   * of an organisation may be refused.
   *
   * @throws SQLException the last failure, if the step does not succeed within half a minute
   */
  static void untilAccepted(Step step) throws SQLException {
    long limit = System.nanoTime() + LIMIT.toNanos();
    while (true) {
      try {
        step.run();
        return;
      } catch (SQLException | AvaticaClientRuntimeException e) {
        if (System.nanoTime() > limit) {
          throw e;
        }
        LockSupport.parkNanos(PAUSE.toNanos());
      }
    }
  }
}
