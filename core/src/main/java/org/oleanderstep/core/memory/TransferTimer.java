package org.oleanderstep.core.memory;

/**
 * Tells whether a message or an answer has been under way for too long. Time is in nanoseconds. Not
 * thread-safe.
 */
final class TransferTimer {

  private static final double NANOS_PER_SECOND = 1e9;

  private boolean running;
  private long startedAt;
  private long movedBytes;

  void startIfStopped(long now) {
    if (!running) {
      restart(now);
    }
  }

  void restart(long now) {
    running = true;
    startedAt = now;
    movedBytes = 0;
  }

  void stop() {
    running = false;
  }

  /** Notes bytes that have arrived, or that the caller has read. */
  void move(long bytes) {
    movedBytes += bytes;
  }

  boolean isExpired(long now) {
    double allowed =
        CallerLimits.TRANSFER_TIME.toNanos()
            + movedBytes * NANOS_PER_SECOND / CallerLimits.SLOWEST_BYTES_PER_SECOND;
    return running && now - startedAt > allowed;
  }
}
