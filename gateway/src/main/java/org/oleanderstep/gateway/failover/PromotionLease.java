package org.oleanderstep.gateway.failover;

import java.time.Duration;
import java.util.Optional;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.VmId;

/**
 * Decides when this VM may request a promotion after another VM has requested one.
 *
 * <pre>{@code
 * lease.onStored(order, writtenAtMillis);
 * if (lease.remaining().isZero()) {
 *   // acquire a token and request the promotion
 * }
 * }</pre>
 *
 * <p>The VM that has requested the last promotion holds the lease and may request others at any
 * time. Another VM may do so once the lease has ended. The lease lasts longer while a request has
 * no response, because the platform may carry it out late.
 *
 * <p>The time counts from the moment at which this VM learns of a request, on a clock that stands
 * still while the VM is suspended, so that it never ends early. Not thread-safe; call only from the
 * control thread.
 */
public final class PromotionLease {

  /** Lease after a response, unless the deployment sets another. */
  public static final Duration DEFAULT_LEASE = Duration.ofSeconds(4);

  /** Time within which the platform carries out a request that got no response. */
  public static final Duration LATE_EXECUTION_LIMIT = Duration.ofSeconds(12);

  /** Time within which a VM sends its request after it has recorded it. */
  public static final Duration MAX_SENDING_DELAY = Duration.ofSeconds(1);

  /** Age of a recorded request above which it has ended, even if a clock was off by seconds. */
  private static final Duration MAX_RECORD_AGE = Duration.ofSeconds(60);

  /**
   * The last request of a VM.
   *
   * @param token its fencing token; a higher one belongs to a later request
   * @param open whether the request, or an earlier one of the VM, may still be carried out
   */
  public record Order(VmId vm, long token, boolean open) {}

  private final VmId self;
  private final Duration lease;
  private final SuspendAwareClock clock;
  private Optional<Order> last = Optional.empty();
  private boolean announcedWithoutStore;
  private long learnedAt;

  /**
   * Creates a lease that nobody holds.
   *
   * @param lease time after the response to a request in which no other VM requests a promotion
   */
  public PromotionLease(VmId self, Duration lease, SuspendAwareClock clock) {
    this.self = self;
    this.lease = lease;
    this.clock = clock;
  }

  /** Returns the last known request. */
  public Optional<Order> last() {
    return last;
  }

  /** Returns the VM that holds the lease, or held it last. */
  public Optional<VmId> holder() {
    return last.map(Order::vm);
  }

  /** Returns whether no request with a higher token than this is known. */
  public boolean isNewest(long token) {
    return last.filter(order -> order.token() > token).isEmpty();
  }

  /** Returns how long this VM has to wait before it may request a promotion; zero if it may. */
  public Duration remaining() {
    if (last.isEmpty() || last.get().vm().equals(self)) {
      return Duration.ZERO;
    }
    Duration total =
        last.get().open() ? max(lease, LATE_EXECUTION_LIMIT).plus(MAX_SENDING_DELAY) : lease;
    Duration left = total.minusNanos(clock.monotonicNanos() - learnedAt);
    return left.isNegative() ? Duration.ZERO : left;
  }

  private static Duration max(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /**
   * Learns of a request from the store.
   *
   * @param writtenAtMillis when its VM recorded it, by the time of day of that VM
   */
  public void onStored(Order order, long writtenAtMillis) {
    if (isNew(order)) {
      learn(order);
      ClockReading now = clock.read();
      if (now.wallClockMillis() - writtenAtMillis > MAX_RECORD_AGE.toMillis()) {
        learnedAt = now.monotonicNanos() - MAX_RECORD_AGE.toNanos();
      }
    } else if (isResponseTo(order) && !announcedWithoutStore) {
      learn(order);
    }
  }

  /** Learns of a request from its own VM, which has not recorded it in the store or is about to. */
  public void onAnnounced(Order order) {
    boolean same = last.filter(known -> known.token() == order.token()).isPresent();
    if (isNew(order) || same) {
      learn(order);
      announcedWithoutStore = order.open();
    }
  }

  /** Learns of a request that another VM knows of. */
  public void onTold(Order order) {
    if (isNew(order)) {
      learn(order);
    }
  }

  private boolean isNew(Order order) {
    return last.filter(known -> known.token() >= order.token()).isEmpty();
  }

  private boolean isResponseTo(Order order) {
    return !order.open()
        && last.filter(known -> known.token() == order.token() && known.open()).isPresent();
  }

  private void learn(Order order) {
    last = Optional.of(order);
    learnedAt = clock.monotonicNanos();
    announcedWithoutStore = false;
  }
}
