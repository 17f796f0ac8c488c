package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.admission.AdmissionAction.Admit;
import org.oleanderstep.core.admission.AdmissionAction.ConfirmShares;
import org.oleanderstep.core.admission.AdmissionAction.ConfirmTransfer;
import org.oleanderstep.core.admission.AdmissionAction.PullTokens;
import org.oleanderstep.core.admission.AdmissionAction.Refuse;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.membership.VmList;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/** Two VMs; an organisation of 20 requests a second and a burst of 20, so 10 and 10 each. */
class ShareLedgerTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final VmId A = new VmId("a");
  private static final VmId B = new VmId("b");
  private static final VmList LIST = new VmList(1, Set.of(A, B), Set.of());
  private static final ShareTable TABLE = ShareTablePlanner.first(LIST, "p1");

  private final ShareLedger ledger = new ShareLedger(A, AdmissionSettings.DEFAULT);
  private long now;

  @BeforeEach
  void start() {
    ledger.onOrganisations(1, List.of(new Organisation("shop", 20, 20)), 0);
    confirm(ledger.onTick(0));
  }

  private void confirm(List<AdmissionAction> actions) {
    for (ConfirmShares action : of(ConfirmShares.class, actions)) {
      ledger.onSharesConfirmed(action.confirmationId(), TABLE, now);
    }
  }

  /** Lets time pass with regular ticks and returns what they ordered. */
  private List<AdmissionAction> advanceTo(long time) {
    List<AdmissionAction> actions = new ArrayList<>();
    while (now < time) {
      now = Math.min(time, now + 5 * MILLI);
      actions.addAll(ledger.onTick(now));
    }
    return actions;
  }

  private int acquireAll() {
    int count = 0;
    while (ledger.tryAcquire(SHOP, now)) {
      count++;
    }
    return count;
  }

  private static <T> List<T> of(Class<T> type, List<AdmissionAction> actions) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private TransferRequest request(long transferId, double amount) {
    return new TransferRequest(B, "b1", transferId, SHOP, amount);
  }

  private double tokens() {
    return ledger.tokens(now).get(SHOP);
  }

  @Nested
  class Start {

    // A restart must not grant a burst, nor use tokens that the last process gave away.
    @Test
    void should_start_empty_and_accrue_only_after_the_hold_time() {
      advanceTo(SECOND - 1);
      assertThat(acquireAll()).isEqualTo(0);
      advanceTo(SECOND + 500 * MILLI);
      assertThat(acquireAll()).isAnyOf(4, 5);
    }

    @Test
    void should_hold_no_more_than_its_share_of_the_burst() {
      advanceTo(60 * SECOND);
      assertThat(acquireAll()).isEqualTo(10);
    }

    @Test
    void should_admit_nothing_before_the_table_is_confirmed() {
      ShareLedger fresh = new ShareLedger(A, AdmissionSettings.DEFAULT);
      fresh.onOrganisations(1, List.of(new Organisation("shop", 20, 20)), 0);
      fresh.onShares(TABLE, 0);
      for (long time = 0; time < 10 * SECOND; time += 100 * MILLI) {
        fresh.onTick(time);
      }
      assertThat(fresh.tryAcquire(SHOP, 10 * SECOND - 100 * MILLI)).isFalse();
    }

    @Test
    void should_refuse_an_organisation_that_is_not_declared() {
      advanceTo(10 * SECOND);
      OrganisationId other = new OrganisationId("other");
      assertThat(ledger.tryAcquire(other, now)).isFalse();
      assertThat(ledger.await(1, other, now + SECOND, now))
          .containsExactly(new Refuse(1, NotRunReason.OVER_RATE));
    }
  }

  @Nested
  class Giving {

    // Without the count against the cap, the giver would refill what the receiver still has.
    @Test
    void should_count_tokens_given_away_against_the_cap_until_the_hold_ends() {
      advanceTo(20 * SECOND);
      TransferReply reply = ledger.onTransferRequest(request(1, 6), now);
      assertThat(reply.amount()).isEqualTo(6);
      assertThat(reply.remaining()).isWithin(1e-6).of(4);
      advanceTo(20 * SECOND + 990 * MILLI);
      assertThat(tokens()).isWithin(1e-6).of(4);
      advanceTo(30 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(10);
    }

    @Test
    void should_refill_after_a_confirmation() {
      advanceTo(20 * SECOND);
      ledger.onTransferRequest(request(1, 6), now);
      ledger.onTransferConfirm("b1", 1, now);
      advanceTo(20 * SECOND + 500 * MILLI);
      assertThat(tokens()).isWithin(0.1).of(9);
    }

    // A repeated confirmation must not end the hold of another transfer.
    @Test
    void should_end_a_hold_only_once() {
      advanceTo(20 * SECOND);
      ledger.onTransferRequest(request(1, 4), now);
      ledger.onTransferRequest(request(2, 4), now);
      ledger.onTransferConfirm("b1", 1, now);
      ledger.onTransferConfirm("b1", 1, now);
      ledger.onTransferConfirm("b2", 2, now);
      advanceTo(20 * SECOND + 900 * MILLI);
      assertThat(tokens()).isWithin(1e-6).of(6);
    }

    @Test
    void should_give_the_same_answer_to_a_repeated_request_of_the_same_process_only() {
      advanceTo(20 * SECOND);
      TransferReply first = ledger.onTransferRequest(request(1, 3), now);
      assertThat(ledger.onTransferRequest(request(1, 3), now)).isEqualTo(first);
      assertThat(tokens()).isWithin(1e-6).of(7);
      ledger.onTransferRequest(new TransferRequest(B, "b2", 1, SHOP, 3), now);
      assertThat(tokens()).isWithin(1e-6).of(4);
    }

    @Test
    void should_give_no_more_than_it_has() {
      advanceTo(20 * SECOND);
      assertThat(ledger.onTransferRequest(request(1, 50), now).amount()).isWithin(1e-6).of(10);
      assertThat(ledger.onTransferRequest(request(2, 50), now).amount()).isEqualTo(0);
    }

    @Test
    void should_give_nothing_after_a_pause() {
      advanceTo(20 * SECOND);
      now += 3 * SECOND;
      assertThat(ledger.onTransferRequest(request(1, 1), now)).isEqualTo(TransferReply.NOTHING);
    }
  }

  @Nested
  class Pulling {

    private PullTokens pull;

    @BeforeEach
    void waitForATokenOfB() {
      advanceTo(20 * SECOND);
      acquireAll();
      pull = of(PullTokens.class, ledger.await(7, SHOP, now + 10 * SECOND, now)).get(0);
    }

    @Test
    void should_admit_the_waiting_request_and_confirm() {
      assertThat(pull.peer()).isEqualTo(B);
      now += 2 * MILLI;
      List<AdmissionAction> actions =
          ledger.onTransferReply(pull.transferId(), new TransferReply(3, 0), now);
      assertThat(actions).containsExactly(new Admit(7), new ConfirmTransfer(B, pull.transferId()));
      assertThat(tokens()).isWithin(0.1).of(2);
    }

    // The giver has refilled the tokens by then, so they would exist twice.
    @Test
    void should_discard_an_answer_that_is_late() {
      ledger.cancel(7);
      advanceTo(now + 501 * MILLI);
      double before = tokens();
      assertThat(ledger.onTransferReply(pull.transferId(), new TransferReply(3, 0), now)).isEmpty();
      assertThat(tokens()).isEqualTo(before);
    }

    @Test
    void should_take_a_repeated_answer_once() {
      ledger.onTransferReply(pull.transferId(), new TransferReply(3, 0), now);
      double before = tokens();
      assertThat(ledger.onTransferReply(pull.transferId(), new TransferReply(3, 0), now)).isEmpty();
      assertThat(tokens()).isEqualTo(before);
    }

    @Test
    void should_refuse_the_request_when_its_wait_ends() {
      ledger.onTransferReply(pull.transferId(), new TransferReply(0, 0), now);
      long start = now;
      List<AdmissionAction> actions = advanceTo(start + 55 * MILLI);
      assertThat(of(Refuse.class, actions)).containsExactly(new Refuse(7, NotRunReason.OVER_RATE));
    }

    // A new request must not take the token for which an earlier one waits.
    @Test
    void should_let_no_request_overtake_one_that_waits() {
      now += 100 * MILLI;
      assertThat(ledger.tryAcquire(SHOP, now)).isFalse();
      ledger.cancel(7);
      assertThat(ledger.tryAcquire(SHOP, now)).isTrue();
    }

    @Test
    void should_hold_no_more_than_the_cap_after_a_transfer() {
      ledger.onTransferReply(pull.transferId(), new TransferReply(50, 0), now);
      assertThat(tokens()).isWithin(1e-6).of(10);
    }

    @Test
    void should_refuse_a_request_whose_deadline_passes_first() {
      ledger.onTransferReply(pull.transferId(), new TransferReply(0, 0), now);
      ledger.await(8, SHOP, now + 10 * MILLI, now);
      List<AdmissionAction> actions = advanceTo(now + 12 * MILLI);
      assertThat(of(Refuse.class, actions)).containsExactly(new Refuse(8, NotRunReason.DEADLINE));
    }
  }

  @Nested
  class Pause {

    @BeforeEach
    void pause() {
      advanceTo(20 * SECOND);
      now += 2 * SECOND + 1;
    }

    // Traffic threads may run before the control thread has noticed the pause.
    @Test
    void should_admit_nothing_before_the_first_tick_after_a_pause() {
      assertThat(ledger.tryAcquire(SHOP, now)).isFalse();
    }

    @Test
    void should_admit_again_after_a_confirmation_that_was_asked_after_the_pause() {
      List<AdmissionAction> actions = ledger.onTick(now);
      assertThat(ledger.tryAcquire(SHOP, now)).isFalse();
      confirm(actions);
      assertThat(ledger.tryAcquire(SHOP, now)).isTrue();
    }

    // An answer that lay in a socket buffer during the pause proves nothing.
    @Test
    void should_ignore_an_answer_to_an_earlier_confirmation() {
      ledger.onTick(now);
      ledger.onSharesConfirmed(1, TABLE, now);
      assertThat(ledger.tryAcquire(SHOP, now)).isFalse();
    }

    @Test
    void should_refuse_waiting_requests_as_not_ready() {
      ledger.onTick(now);
      ledger.await(9, SHOP, now + SECOND, now);
      List<AdmissionAction> actions = advanceTo(now + 60 * MILLI);
      assertThat(of(Refuse.class, actions)).containsExactly(new Refuse(9, NotRunReason.NOT_READY));
    }
  }

  @Nested
  class Shares {

    @Test
    void should_use_a_gained_slot_only_after_the_hold_time() {
      advanceTo(20 * SECOND);
      VmList without = new VmList(2, Set.of(A), Set.of());
      ledger.onShares(ShareTablePlanner.next(TABLE, without, "p2").orElseThrow(), now);
      advanceTo(20 * SECOND + 990 * MILLI);
      assertThat(tokens()).isWithin(1e-6).of(10);
      advanceTo(40 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(20);
    }

    // The receiver of a slot may use it as soon as the table is published.
    @Test
    void should_stop_using_a_released_slot_at_once() {
      advanceTo(20 * SECOND);
      int slot = 0;
      while (!TABLE.slots().get(slot).holder().equals(A)) {
        slot++;
      }
      ledger.release(slot, now);
      assertThat(tokens()).isWithin(1e-6).of(7.5);
      advanceTo(40 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(7.5);
    }

    @Test
    void should_ignore_an_older_table() {
      VmList without = new VmList(2, Set.of(A), Set.of());
      ledger.onShares(ShareTablePlanner.next(TABLE, without, "p2").orElseThrow(), now);
      ledger.onShares(TABLE, now);
      assertThat(ledger.sharesVersion()).isEqualTo(2);
    }
  }

  @Nested
  class Rates {

    private void adopt(long generation, double rate, double burst) {
      ledger.onOrganisations(generation, List.of(new Organisation("shop", rate, burst)), now);
    }

    @Test
    void should_keep_tokens_up_to_the_new_cap_when_the_rate_changes() {
      advanceTo(20 * SECOND);
      adopt(2, 2, 8);
      assertThat(tokens()).isWithin(1e-6).of(4);
      acquireAll();
      advanceTo(21 * SECOND);
      assertThat(tokens()).isWithin(0.01).of(1);
    }

    @Test
    void should_ignore_an_older_generation() {
      advanceTo(20 * SECOND);
      adopt(3, 20, 20);
      adopt(2, 2, 8);
      assertThat(tokens()).isWithin(1e-6).of(10);
    }

    // Other VMs use the old split until they adopt the generation.
    @Test
    void should_not_use_the_whole_of_a_small_burst_before_all_hold_the_generation() {
      advanceTo(20 * SECOND);
      adopt(2, 20, 3);
      advanceTo(40 * SECOND);
      VmId home = TABLE.slots().get(TABLE.homeSlot(SHOP)).holder();
      double whole = home.equals(A) ? 3 : 0;
      assertThat(tokens()).isWithin(1e-6).of(home.equals(A) ? 1.5 : 0);
      ledger.onGenerationInForce(1, now);
      advanceTo(60 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(home.equals(A) ? 1.5 : 0);
      ledger.onGenerationInForce(2, now);
      advanceTo(80 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(whole);
    }

    // A process that starts during such a change must not take the whole while another that was
    // paused still uses the split.
    @Test
    void should_use_the_smaller_place_after_a_start_until_all_hold_the_generation() {
      for (double burst : new double[] {3, 20}) {
        ShareLedger fresh = new ShareLedger(A, AdmissionSettings.DEFAULT);
        fresh.onOrganisations(5, List.of(new Organisation("shop", 20, burst)), 0);
        fresh.onShares(TABLE, 0);
        fresh.onTick(50 * SECOND);
        fresh.onTick(100 * SECOND);
        VmId home = TABLE.slots().get(TABLE.homeSlot(SHOP)).holder();
        double least = home.equals(A) ? burst / 2 : 0;
        assertThat(fresh.tokens(100 * SECOND).get(SHOP)).isWithin(1e-6).of(least);
        fresh.onGenerationInForce(5, 100 * SECOND);
        fresh.onTick(200 * SECOND);
        double whole = home.equals(A) ? burst : 0;
        double expected = burst == 20 ? 10 : whole;
        assertThat(fresh.tokens(200 * SECOND).get(SHOP)).isWithin(1e-6).of(expected);
      }
    }

    @Test
    void should_admit_nothing_for_a_removed_organisation() {
      advanceTo(20 * SECOND);
      ledger.onOrganisations(2, List.of(), now);
      assertThat(ledger.tryAcquire(SHOP, now)).isFalse();
      adopt(3, 20, 20);
      assertThat(ledger.tryAcquire(SHOP, now)).isFalse();
      advanceTo(40 * SECOND);
      assertThat(acquireAll()).isEqualTo(10);
    }

    @Test
    void should_admit_nothing_at_a_rate_of_zero() {
      adopt(2, 0, 20);
      advanceTo(100 * SECOND);
      assertThat(Optional.of(acquireAll())).hasValue(0);
    }
  }
}
