package org.oleanderstep.core.memory;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CallerAccountsTest {

  private static final long MEGABYTE = 1 << 20;
  private static final CallerLimits LIMITS = new CallerLimits(16 * MEGABYTE, 4, 3);

  private final CallerAccounts accounts = new CallerAccounts(LIMITS);
  private final List<CallerAccount> closed = new ArrayList<>();
  private final List<CallerLimit> reasons = new ArrayList<>();

  private CallerAccount open() {
    return accounts.open(this::onClosed).orElseThrow();
  }

  private CallerAccount open(String organisation) {
    CallerAccount account = open();
    assertThat(account.identify(organisation)).isTrue();
    return account;
  }

  private void onClosed(CallerLimit limit, CallerAccount account) {
    closed.add(account);
    reasons.add(limit);
  }

  private void passSeconds(int seconds) {
    for (int i = 0; i <= seconds; i++) {
      accounts.tick(Duration.ofSeconds(i).toNanos());
    }
  }

  // The connection of an ordinary caller would pay for those that fill the memory.
  @Test
  void should_close_the_connection_that_holds_most() {
    CallerAccount ordinary = open("a");
    ordinary.received(3 * MEGABYTE, true);
    CallerAccount large = open("b");
    large.received(8 * MEGABYTE, true);
    CallerAccount last = open("c");

    last.received(3 * MEGABYTE, true);
    last.statementAccepted(3 * MEGABYTE);

    assertThat(closed).containsExactly(large);
    assertThat(reasons).containsExactly(CallerLimit.BYTES);
    assertThat(accounts.heldBytes()).isLessThan(LIMITS.bytes());
  }

  // Variables and prepared statements stay in the memory after their statements were answered.
  @Test
  void should_count_what_a_session_keeps_between_statements() {
    CallerAccount account = open("a");
    account.stateKept(LIMITS.bytes());

    assertThat(closed).containsExactly(account);
    assertThat(accounts.heldBytes()).isEqualTo(0);
  }

  // A large message that has just come would be closed before one that has stopped halfway.
  @Test
  void should_close_the_one_that_has_held_for_longest_among_those_that_hold_much() {
    CallerAccount stopped = open("a");
    stopped.received(6 * MEGABYTE, true);
    passSeconds(3);

    open("b").received(7 * MEGABYTE, true);
    open("c").received(7 * MEGABYTE, true);

    assertThat(closed).containsExactly(stopped);
  }

  // One organisation could take the memory of all others.
  @Test
  void should_bound_the_bytes_of_one_organisation() {
    CallerAccount other = open("b");
    other.received(7 * MEGABYTE, true);
    CallerAccount first = open("a");
    first.received(5 * MEGABYTE, true);

    open("a").received(4 * MEGABYTE, true);

    assertThat(closed).containsExactly(first);
    assertThat(reasons).containsExactly(CallerLimit.ORGANISATION_BYTES);
  }

  // Callers that have shown no key could take the memory of sessions.
  @Test
  void should_bound_the_bytes_of_connections_without_a_key() {
    open().received(3 * MEGABYTE, true);
    open().received(3 * MEGABYTE, true);

    assertThat(reasons).containsExactly(CallerLimit.BYTES_WITHOUT_KEY);
  }

  // Idle connections without a key would keep callers out, or sessions would be closed for them.
  @Test
  void should_make_room_for_a_connection_only_by_one_without_a_key() {
    CallerAccount session = open("a");
    CallerAccount oldest = open();
    open("b");
    open();

    CallerAccount admitted = open();
    assertThat(closed).containsExactly(oldest);
    admitted.identify("c");
    open("d");

    assertThat(accounts.open(this::onClosed)).isEqualTo(Optional.empty());
    assertThat(closed).doesNotContain(session);
  }

  // One organisation could take all connections.
  @Test
  void should_bound_the_connections_of_one_organisation() {
    open("a");
    CallerAccount second = open("a");
    CallerAccount third = open();

    assertThat(third.identify("a")).isFalse();
    second.close();
    assertThat(third.identify("a")).isTrue();
  }

  // A caller that sends ahead without end would fill the memory.
  @Test
  void should_stop_reading_at_the_number_or_the_bytes_of_statements_ahead() {
    CallerAccount account = open("a");
    account.statementAccepted(10);
    account.statementAccepted(10);
    assertThat(account.mayRead()).isTrue();

    account.statementAccepted(10);
    assertThat(account.mayRead()).isFalse();
    account.statementAnswered();
    assertThat(account.mayRead()).isTrue();

    account.statementAccepted(MEGABYTE);
    account.statementAnswered();
    assertThat(account.mayRead()).isFalse();
  }

  // Half-sent messages would be held for ever.
  @Test
  void should_close_a_sender_that_stops_within_a_message_but_not_an_idle_session() {
    open("a");
    CallerAccount stopped = open("b");
    stopped.received(100, true);

    passSeconds(29);
    assertThat(closed).isEmpty();
    passSeconds(31);

    assertThat(closed).containsExactly(stopped);
    assertThat(reasons).containsExactly(CallerLimit.SLOW_SENDER);
  }

  // Answers that are not read would be held for ever.
  @Test
  void should_close_a_reader_that_stops_but_not_one_that_has_read_all() {
    CallerAccount reader = open("a");
    reader.answerQueued(100);
    reader.answerWritten(100);
    CallerAccount stopped = open("b");
    stopped.answerQueued(100);

    passSeconds(31);

    assertThat(closed).containsExactly(stopped);
    assertThat(reasons).containsExactly(CallerLimit.SLOW_READER);
  }

  // A long answer or message over a slow link is no attack.
  @Test
  void should_let_a_transfer_go_on_that_moves_on() {
    CallerAccount reader = open("a");
    reader.answerQueued(3 * MEGABYTE);
    reader.answerWritten(MEGABYTE);

    passSeconds(90);

    assertThat(closed).isEmpty();
  }

  // A caller is not slow while the process itself does not read, or does not run.
  @Test
  void should_not_take_its_own_pause_for_a_slow_caller() {
    CallerAccount account = open("a");
    account.received(100, true);
    accounts.tick(0);
    accounts.tick(Duration.ofSeconds(100).toNanos());
    account.statementAccepted(MEGABYTE);
    account.received(200, true);
    passSeconds(60);

    assertThat(closed).isEmpty();
  }

  // A sum that drifts would close connections without need, or none at all.
  @Property(tries = 200)
  void should_hold_what_its_open_accounts_hold(
      @ForAll @Size(max = 60) List<@IntRange(max = 4_000_000) Integer> sizes) {
    CallerAccounts all = new CallerAccounts(LIMITS);
    List<CallerAccount> opened = new ArrayList<>();
    for (int size : sizes) {
      all.open((limit, account) -> {}).ifPresent(opened::add);
      CallerAccount account = opened.get(size % opened.size());
      switch (size % 5) {
        case 0 -> account.received(size, true);
        case 1 -> account.statementAccepted(size);
        case 2 -> account.statementAnswered();
        case 3 -> account.identify("o" + size % 3);
        default -> account.close();
      }
      long held =
          opened.stream().filter(a -> !a.isClosed()).mapToLong(CallerAccount::heldBytes).sum();
      assertThat(all.heldBytes()).isEqualTo(held);
      assertThat(held).isAtMost(LIMITS.bytes());
    }
  }

  // A few thousand callers must find room on the smallest machine after other VMs are lost.
  @Test
  void should_leave_descriptors_to_members_and_the_store() {
    CallerLimits smallest = CallerLimits.of(160 * MEGABYTE, 282 * MEGABYTE, 2_216);

    assertThat(smallest.connections()).isEqualTo(2_216 - 128 - 277);
    assertThat(smallest.bytes()).isEqualTo(282 * MEGABYTE / 8);
  }
}
