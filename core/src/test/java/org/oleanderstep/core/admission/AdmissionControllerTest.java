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

/**
 * Tests with two VMs and an organisation with a rate of 20 requests a second and a burst of 20, so
 * that each VM has a rate and burst of 10.
 */
class AdmissionControllerTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final VmId A = new VmId("a");
  private static final VmId B = new VmId("b");
  private static final VmList LIST = new VmList(1, Set.of(A, B), Set.of());
  private static final ShareTable TABLE = ShareTablePlanner.first(LIST, "p1");

  private final AdmissionController controller =
      new AdmissionController(A, AdmissionSettings.DEFAULT);
  private long now;

  @BeforeEach
  void start() {
    controller.onOrganisations(1, List.of(new Organisation("shop", 20, 20)), 0);
    confirm(controller.onTick(0));
  }

  private void confirm(List<AdmissionAction> actions) {
    for (ConfirmShares action : of(ConfirmShares.class, actions)) {
      controller.onSharesConfirmed(action.confirmationId(), TABLE, now);
    }
  }

  /** Advances the time with regular ticks and returns their actions. */
  private List<AdmissionAction> advanceTo(long time) {
    List<AdmissionAction> actions = new ArrayList<>();
    while (now < time) {
      now = Math.min(time, now + 5 * MILLI);
      actions.addAll(controller.onTick(now));
    }
    return actions;
  }

  private int acquireAll() {
    int count = 0;
    while (controller.tryAcquire(SHOP, now)) {
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
    return controller.tokens(now).get(SHOP);
  }

  @Nested
  class Start {

    // A restart must not grant a burst, nor reuse tokens that the previous process transferred.
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
      AdmissionController fresh = new AdmissionController(A, AdmissionSettings.DEFAULT);
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
      assertThat(controller.tryAcquire(other, now)).isFalse();
      assertThat(controller.enqueue(1, other, now + SECOND, now))
          .containsExactly(new Refuse(1, NotRunReason.OVER_RATE));
    }
  }

  @Nested
  class Transferring {

    // Otherwise the donor would refill tokens that the receiver may still use.
    @Test
    void should_count_transferred_tokens_against_the_cap_until_the_hold_ends() {
      advanceTo(20 * SECOND);
      TransferReply reply = controller.onTransferRequest(request(1, 6), now);
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
      controller.onTransferRequest(request(1, 6), now);
      controller.onTransferConfirmed("b1", 1, now);
      advanceTo(20 * SECOND + 500 * MILLI);
      assertThat(tokens()).isWithin(0.1).of(9);
    }

    // A repeated confirmation must not end the hold of another transfer.
    @Test
    void should_end_a_hold_only_once() {
      advanceTo(20 * SECOND);
      controller.onTransferRequest(request(1, 4), now);
      controller.onTransferRequest(request(2, 4), now);
      controller.onTransferConfirmed("b1", 1, now);
      controller.onTransferConfirmed("b1", 1, now);
      controller.onTransferConfirmed("b2", 2, now);
      advanceTo(20 * SECOND + 900 * MILLI);
      assertThat(tokens()).isWithin(1e-6).of(6);
    }

    @Test
    void should_give_the_same_reply_to_a_repeated_request_of_the_same_process_only() {
      advanceTo(20 * SECOND);
      TransferReply first = controller.onTransferRequest(request(1, 3), now);
      assertThat(controller.onTransferRequest(request(1, 3), now)).isEqualTo(first);
      assertThat(tokens()).isWithin(1e-6).of(7);
      controller.onTransferRequest(new TransferRequest(B, "b2", 1, SHOP, 3), now);
      assertThat(tokens()).isWithin(1e-6).of(4);
    }

    @Test
    void should_transfer_no_more_than_it_has() {
      advanceTo(20 * SECOND);
      assertThat(controller.onTransferRequest(request(1, 50), now).amount()).isWithin(1e-6).of(10);
      assertThat(controller.onTransferRequest(request(2, 50), now).amount()).isEqualTo(0);
    }

    @Test
    void should_transfer_nothing_after_a_pause() {
      advanceTo(20 * SECOND);
      now += 3 * SECOND;
      assertThat(controller.onTransferRequest(request(1, 1), now)).isEqualTo(TransferReply.NOTHING);
    }
  }

  @Nested
  class Pulling {

    private PullTokens pull;

    @BeforeEach
    void enqueueARequest() {
      advanceTo(20 * SECOND);
      acquireAll();
      pull = of(PullTokens.class, controller.enqueue(7, SHOP, now + 10 * SECOND, now)).get(0);
    }

    @Test
    void should_admit_the_waiting_request_and_confirm() {
      assertThat(pull.peer()).isEqualTo(B);
      now += 2 * MILLI;
      List<AdmissionAction> actions =
          controller.onTransferReply(pull.transferId(), new TransferReply(3, 0), now);
      assertThat(actions).containsExactly(new Admit(7), new ConfirmTransfer(B, pull.transferId()));
      assertThat(tokens()).isWithin(0.1).of(2);
    }

    // The donor may have refilled the tokens by then, so they would exist twice.
    @Test
    void should_discard_a_late_reply() {
      controller.cancel(7);
      advanceTo(now + 501 * MILLI);
      double before = tokens();
      assertThat(controller.onTransferReply(pull.transferId(), new TransferReply(3, 0), now))
          .isEmpty();
      assertThat(tokens()).isEqualTo(before);
    }

    @Test
    void should_accept_a_repeated_reply_only_once() {
      controller.onTransferReply(pull.transferId(), new TransferReply(3, 0), now);
      double before = tokens();
      assertThat(controller.onTransferReply(pull.transferId(), new TransferReply(3, 0), now))
          .isEmpty();
      assertThat(tokens()).isEqualTo(before);
    }

    @Test
    void should_refuse_the_request_when_its_wait_ends() {
      controller.onTransferReply(pull.transferId(), new TransferReply(0, 0), now);
      long start = now;
      List<AdmissionAction> actions = advanceTo(start + 55 * MILLI);
      assertThat(of(Refuse.class, actions)).containsExactly(new Refuse(7, NotRunReason.OVER_RATE));
    }

    // A new request must not take the token for which an earlier one waits.
    @Test
    void should_let_no_request_overtake_a_waiting_one() {
      now += 100 * MILLI;
      assertThat(controller.tryAcquire(SHOP, now)).isFalse();
      controller.cancel(7);
      assertThat(controller.tryAcquire(SHOP, now)).isTrue();
    }

    @Test
    void should_hold_no_more_than_the_cap_after_a_transfer() {
      controller.onTransferReply(pull.transferId(), new TransferReply(50, 0), now);
      assertThat(tokens()).isWithin(1e-6).of(10);
    }

    @Test
    void should_refuse_a_request_whose_deadline_passes_first() {
      controller.onTransferReply(pull.transferId(), new TransferReply(0, 0), now);
      controller.enqueue(8, SHOP, now + 10 * MILLI, now);
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
      assertThat(controller.tryAcquire(SHOP, now)).isFalse();
    }

    @Test
    void should_admit_again_after_a_confirmation_that_was_requested_after_the_pause() {
      List<AdmissionAction> actions = controller.onTick(now);
      assertThat(controller.tryAcquire(SHOP, now)).isFalse();
      confirm(actions);
      assertThat(controller.tryAcquire(SHOP, now)).isTrue();
    }

    // An answer that was in a socket buffer during the pause may be outdated.
    @Test
    void should_ignore_an_answer_to_an_earlier_confirmation() {
      controller.onTick(now);
      controller.onSharesConfirmed(1, TABLE, now);
      assertThat(controller.tryAcquire(SHOP, now)).isFalse();
    }

    @Test
    void should_refuse_waiting_requests_as_not_ready() {
      controller.onTick(now);
      controller.enqueue(9, SHOP, now + SECOND, now);
      List<AdmissionAction> actions = advanceTo(now + 60 * MILLI);
      assertThat(of(Refuse.class, actions)).containsExactly(new Refuse(9, NotRunReason.NOT_READY));
    }
  }

  @Nested
  class Shares {

    @Test
    void should_use_a_new_slot_only_after_the_hold_time() {
      advanceTo(20 * SECOND);
      VmList without = new VmList(2, Set.of(A), Set.of());
      controller.onShares(ShareTablePlanner.next(TABLE, without, "p2").orElseThrow(), now);
      advanceTo(20 * SECOND + 990 * MILLI);
      assertThat(tokens()).isWithin(1e-6).of(10);
      advanceTo(40 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(20);
    }

    // The receiver of the slot may use it once the new table is published.
    @Test
    void should_stop_using_a_released_slot_at_once() {
      advanceTo(20 * SECOND);
      int slot = 0;
      while (!TABLE.slots().get(slot).holder().equals(A)) {
        slot++;
      }
      controller.releaseSlot(slot, now);
      assertThat(tokens()).isWithin(1e-6).of(7.5);
      advanceTo(40 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(7.5);
    }

    @Test
    void should_ignore_an_older_table() {
      VmList without = new VmList(2, Set.of(A), Set.of());
      controller.onShares(ShareTablePlanner.next(TABLE, without, "p2").orElseThrow(), now);
      controller.onShares(TABLE, now);
      assertThat(controller.sharesVersion()).isEqualTo(2);
    }
  }

  @Nested
  class Rates {

    private void adopt(long generation, double rate, double burst) {
      controller.onOrganisations(generation, List.of(new Organisation("shop", rate, burst)), now);
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

    // Other VMs use the previous, split placement until they adopt the generation.
    @Test
    void should_not_use_a_small_burst_unsplit_before_all_vms_report_the_generation() {
      advanceTo(20 * SECOND);
      adopt(2, 20, 3);
      advanceTo(40 * SECOND);
      VmId home = TABLE.slots().get(TABLE.homeSlot(SHOP)).holder();
      double unsplit = home.equals(A) ? 3 : 0;
      assertThat(tokens()).isWithin(1e-6).of(home.equals(A) ? 1.5 : 0);
      controller.onGenerationConverged(1, now);
      advanceTo(60 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(home.equals(A) ? 1.5 : 0);
      controller.onGenerationConverged(2, now);
      advanceTo(80 * SECOND);
      assertThat(tokens()).isWithin(1e-6).of(unsplit);
    }

    // A process that starts during such a change must not use the entire burst while another one,
    // which was paused, still uses the split placement.
    @Test
    void should_use_the_smaller_placement_after_a_start_until_all_vms_report_the_generation() {
      for (double burst : new double[] {3, 20}) {
        AdmissionController fresh = new AdmissionController(A, AdmissionSettings.DEFAULT);
        fresh.onOrganisations(5, List.of(new Organisation("shop", 20, burst)), 0);
        fresh.onShares(TABLE, 0);
        fresh.onTick(50 * SECOND);
        fresh.onTick(100 * SECOND);
        VmId home = TABLE.slots().get(TABLE.homeSlot(SHOP)).holder();
        double least = home.equals(A) ? burst / 2 : 0;
        assertThat(fresh.tokens(100 * SECOND).get(SHOP)).isWithin(1e-6).of(least);
        fresh.onGenerationConverged(5, 100 * SECOND);
        fresh.onTick(200 * SECOND);
        double unsplit = home.equals(A) ? burst : 0;
        double expected = burst == 20 ? 10 : unsplit;
        assertThat(fresh.tokens(200 * SECOND).get(SHOP)).isWithin(1e-6).of(expected);
      }
    }

    @Test
    void should_admit_nothing_for_a_removed_organisation() {
      advanceTo(20 * SECOND);
      controller.onOrganisations(2, List.of(), now);
      assertThat(controller.tryAcquire(SHOP, now)).isFalse();
      adopt(3, 20, 20);
      assertThat(controller.tryAcquire(SHOP, now)).isFalse();
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
