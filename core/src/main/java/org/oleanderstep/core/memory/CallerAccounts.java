package org.oleanderstep.core.memory;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Accounts for what the process holds for callers, by connection, by organisation and in all, and
 * closes connections where a limit is exceeded: those first that hold most, and among these the one
 * that has held for longest.
 *
 * <pre>{@code
 * CallerAccounts accounts = new CallerAccounts(limits);
 * Optional<CallerAccount> account = accounts.open(connection);
 * account.get().received(bytes, true);
 * accounts.tick(now);
 * }</pre>
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class CallerAccounts {

  /** A process that was paused must not take the pause for the slowness of its callers. */
  private static final Duration MAX_STEP = Duration.ofSeconds(2);

  /** An organisation's connections and the bytes held for them. */
  private static final class Usage {
    private int connections;
    private long bytes;
  }

  private final CallerLimits limits;
  private final Set<CallerAccount> open = new LinkedHashSet<>();
  private final Map<Optional<String>, Usage> usages = new HashMap<>();
  private long bytes;
  private long now;
  private long tickedAt;
  private boolean ticked;

  /** Creates accounts without a connection. */
  public CallerAccounts(CallerLimits limits) {
    this.limits = limits;
  }

  /** Returns the limits. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the bytes held for all callers. */
  public long heldBytes() {
    return bytes;
  }

  /** Returns the number of open connections. */
  public int connections() {
    return open.size();
  }

  /**
   * Opens the account of a new connection. At the limit, the oldest connection without a valid key
   * makes room. Returns an empty result if there is none; the connection must be refused then.
   */
  public Optional<CallerAccount> open(CallerAccount.Connection connection) {
    if (open.size() >= limits.connections()) {
      open.stream()
          .filter(account -> account.organisation().isEmpty())
          .findFirst()
          .ifPresent(account -> close(account, CallerLimit.CONNECTIONS));
    }
    if (open.size() >= limits.connections()) {
      return Optional.empty();
    }
    CallerAccount account = new CallerAccount(this, connection);
    open.add(account);
    usage(account).connections++;
    return Optional.of(account);
  }

  /** Returns whether an organisation may have another connection. */
  boolean admits(String organisation) {
    Usage usage = usages.get(Optional.of(organisation));
    return usage == null || usage.connections < limits.organisationConnections();
  }

  long now() {
    return now;
  }

  private Usage usage(CallerAccount account) {
    return usages.computeIfAbsent(account.organisation(), name -> new Usage());
  }

  /** Applies a change of an account that is open, and closes connections above a limit. */
  void change(CallerAccount account, Runnable change) {
    if (account.isClosed()) {
      change.run();
      return;
    }
    boolean heldNothing = account.heldBytes() == 0;
    withdraw(account);
    change.run();
    deposit(account);
    if (heldNothing) {
      account.setHoldsSince(now);
    }
    enforce(account.organisation());
  }

  private void withdraw(CallerAccount account) {
    Usage usage = usage(account);
    usage.connections--;
    usage.bytes -= account.heldBytes();
    bytes -= account.heldBytes();
    if (usage.connections == 0) {
      usages.remove(account.organisation());
    }
  }

  private void deposit(CallerAccount account) {
    Usage usage = usage(account);
    usage.connections++;
    usage.bytes += account.heldBytes();
    bytes += account.heldBytes();
  }

  private void enforce(Optional<String> organisation) {
    long own = organisation.isEmpty() ? limits.bytesWithoutKey() : limits.organisationBytes();
    CallerLimit limit =
        organisation.isEmpty() ? CallerLimit.BYTES_WITHOUT_KEY : CallerLimit.ORGANISATION_BYTES;
    while (usages.containsKey(organisation) && usages.get(organisation).bytes > own) {
      closeLargest(account -> account.organisation().equals(organisation), limit);
    }
    while (bytes > limits.bytes()) {
      closeLargest(account -> true, CallerLimit.BYTES);
    }
  }

  private void closeLargest(Predicate<CallerAccount> group, CallerLimit limit) {
    long most = open.stream().filter(group).mapToLong(CallerAccount::heldBytes).max().orElse(0);
    open.stream()
        .filter(group)
        .filter(account -> account.heldBytes() * 2 >= most)
        .min(Comparator.comparingLong(CallerAccount::holdsSince))
        .ifPresent(account -> close(account, limit));
  }

  private void close(CallerAccount account, CallerLimit limit) {
    remove(account);
    account.closeConnection(limit);
  }

  void remove(CallerAccount account) {
    if (account.markClosed()) {
      withdraw(account);
      open.remove(account);
    }
  }

  /**
   * Closes connections that have been sending a message or reading answers for too long. Must be
   * called about once a second.
   *
   * @param time nanoseconds of a monotonic clock
   */
  public void tick(long time) {
    now += ticked ? Math.max(0, Math.min(time - tickedAt, MAX_STEP.toNanos())) : 0;
    tickedAt = time;
    ticked = true;
    for (CallerAccount account : List.copyOf(open)) {
      account.expiredLimit(now).ifPresent(limit -> close(account, limit));
    }
  }
}
