package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides how many connections to a member this VM may have open.
 *
 * <p>A member accepts a fixed number of connections from all VMs together. Each VM may use an equal
 * part of them. Where there are nearly as many VMs as connections, that part is one or two: then a
 * pausing transaction would hold up every other statement of the VM, so that a few connections
 * above the part may be opened and are closed after use. After a loss of power or a refusal the
 * member has none to spare, since it still counts the connections of lost VMs.
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock.
 */
final class ConnectionAllowance {

  /**
   * Time after a start or a refusal for which connections are scarce; a member needs about as long
   * to notice that VMs are lost.
   */
  static final Duration SCARCITY_PERIOD = Duration.ofSeconds(4);

  /** With a larger limit, the VMs together leave enough connections unused. */
  private static final int MAX_SCARCE_LIMIT = 2;

  /** Connections above a small limit, because most VMs use fewer than theirs. */
  private static final int SPARE_CONNECTIONS = 2;

  private final long createdAt;
  private int limit;
  private Optional<Long> refusedAt = Optional.empty();

  /**
   * Creates an allowance.
   *
   * @param limit the part of this VM
   */
  ConnectionAllowance(int limit, long now) {
    this.limit = limit;
    createdAt = now;
  }

  /** Replaces the part of this VM. */
  void update(int newLimit) {
    limit = newLimit;
  }

  /** Records that the member accepts no more connections. */
  void onRefused(long now) {
    refusedAt = Optional.of(now);
  }

  /** Returns whether another connection is within the part of this VM. */
  boolean allowsAnother(int open) {
    return open < limit;
  }

  /** Returns whether a connection above the part of this VM may be opened for one use. */
  boolean allowsSpare(int open, long now) {
    return limit <= MAX_SCARCE_LIMIT && !isScarce(now) && open < limit + SPARE_CONNECTIONS;
  }

  /** Returns whether there are more connections than the part of this VM. */
  boolean isExceededBy(int open) {
    return open > limit;
  }

  /** Returns whether connections that are not in use should be left to other VMs. */
  boolean isScarce(long now) {
    boolean startedRecently = limit <= MAX_SCARCE_LIMIT && isRecent(createdAt, now);
    return startedRecently || refusedAt.filter(at -> isRecent(at, now)).isPresent();
  }

  private static boolean isRecent(long time, long now) {
    return now - time < SCARCITY_PERIOD.toNanos();
  }
}
