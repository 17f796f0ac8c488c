package org.oleanderstep.gateway.session;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.PRIMARY_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.admission.TokenBorrower;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.Gateway;
import org.oleanderstep.gateway.GatewayFixture;

/** Admission of callers that exceed their organisation's rate for a moment. */
class AdmissionQueuesTest {

  /** One token every 20 ms; with a target latency of 200 ms, an operation may wait for 80 ms. */
  private static final double RATE = 50;

  private final GatewayFixture fixture = new GatewayFixture();

  @BeforeEach
  void exhaustBurst() {
    // Opens the connection that the later operations use, before the rate is lowered.
    open().read();
    fixture.setRate(RATE);
    fixture.gateway.updateRateShares(Map.of(SHOP, 1.0));
    fixture.advanceTime(Duration.ofSeconds(2));
    FakeCaller caller = open();
    for (int i = 0; i < RATE; i++) {
      caller.read();
    }
  }

  private FakeCaller open() {
    return fixture.open(PRIMARY_DATABASE, SHOP_KEY);
  }

  private List<FakeCaller> callers(int count) {
    List<FakeCaller> callers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      callers.add(open());
    }
    callers.forEach(caller -> caller.send(StatementKind.READ, "READ item"));
    return callers;
  }

  private static long answered(List<FakeCaller> callers) {
    return callers.stream().filter(caller -> !caller.answers.isEmpty()).count();
  }

  private static long refused(List<FakeCaller> callers) {
    return callers.stream()
        .filter(caller -> !caller.answers.isEmpty())
        .filter(caller -> caller.last() instanceof Answer.Failure)
        .count();
  }

  private long reads() {
    return fixture.first.executedStatements.stream()
        .filter(text -> text.startsWith("READ"))
        .count();
  }

  // Guards against callers that wait although no token can become available in time.
  @Test
  void should_immediately_refuse_operations_that_cannot_be_admitted_in_time() {
    List<FakeCaller> callers = callers(10);

    assertThat(refused(callers)).isAtLeast(6);
    assertThat(answered(callers)).isEqualTo(refused(callers));
  }

  // A small burst of a few more operations than there are tokens.
  @Test
  void should_admit_a_small_burst_after_a_short_wait() {
    List<FakeCaller> callers = callers(3);

    fixture.advanceTime(Duration.ofMillis(100));

    assertThat(answered(callers)).isEqualTo(3);
    assertThat(refused(callers)).isEqualTo(0);
  }

  @Test
  void should_admit_in_the_order_of_arrival() {
    List<FakeCaller> callers = callers(3);

    while (answered(callers) == 0) {
      fixture.advanceTime(Gateway.TICK_INTERVAL);
    }

    assertThat(callers.get(0).answers).isNotEmpty();
  }

  // A token that is given to a disconnected caller is lost to the others.
  @Test
  void should_not_give_a_token_to_a_disconnected_caller() {
    List<FakeCaller> callers = callers(2);
    long before = reads();

    callers.get(0).disconnect();
    fixture.advanceTime(Duration.ofMillis(100));

    assertThat(reads() - before).isEqualTo(1);
    assertThat(refused(callers.subList(1, 2))).isEqualTo(0);
  }

  // While another VM has tokens, a refusal would be one within the organisation's rate.
  @Test
  void should_admit_with_borrowed_tokens() {
    lendFromAnotherVm();
    List<FakeCaller> callers = callers(8);
    assertThat(answered(callers)).isEqualTo(0);

    for (TokenBorrower.LoanRequest ask : List.copyOf(fixture.tokenRequests)) {
      fixture.gateway.admission().onReply(new TokenBorrower.LoanReply(ask.id(), ask.tokens(), 9));
    }
    fixture.advanceTime(Duration.ofMillis(100));

    assertThat(answered(callers)).isEqualTo(8);
    assertThat(refused(callers)).isEqualTo(0);
    assertThat(fixture.confirmedTokenRequests).isEqualTo(fixture.tokenRequests);
  }

  // Guards against callers that wait although every VM has replied that it has no tokens.
  @Test
  void should_refuse_immediately_when_no_vm_has_tokens() {
    lendFromAnotherVm();
    List<FakeCaller> callers = callers(8);

    for (TokenBorrower.LoanRequest ask : List.copyOf(fixture.tokenRequests)) {
      fixture.gateway.admission().onReply(new TokenBorrower.LoanReply(ask.id(), 0, 0));
    }

    assertThat(refused(callers)).isAtLeast(4);
  }

  private void lendFromAnotherVm() {
    fixture.gateway.updateLenders(Map.of(SHOP, Map.of(new VmId("other"), 0.5)));
    fixture.tokenRequests.clear();
  }

  /** A gateway whose organisation has two tokens, and no member for its operations. */
  private GatewayFixture withoutPrimary() {
    GatewayFixture without = new GatewayFixture();
    without.setRate(2);
    without.gateway.updateRateShares(Map.of(SHOP, 1.0));
    without.first.claimsPrimary = false;
    without.publishMembers();
    without.advanceTime(Duration.ofSeconds(2));
    return without;
  }

  private static List<FakeCaller> refusedWithoutPrimary(GatewayFixture without) {
    List<FakeCaller> callers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      FakeCaller caller = without.open(PRIMARY_DATABASE, SHOP_KEY);
      caller.send(StatementKind.READ, "READ item");
      callers.add(caller);
    }
    without.advanceTime(Duration.ofMillis(500));
    callers.forEach(caller -> assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED));
    without.first.claimsPrimary = true;
    without.publishMembers();
    return callers;
  }

  // While no member can serve them, callers retry. If each try used a token, they would be refused
  // as over their rate when the member is back.
  @Test
  void should_not_count_operations_that_reached_no_member() {
    GatewayFixture without = withoutPrimary();
    List<FakeCaller> callers = refusedWithoutPrimary(without);

    callers.forEach(FakeCaller::read);

    assertThat(refused(callers)).isEqualTo(0);
  }

  // Only a VM with a share may keep tokens: the shares limit the sum over all VMs.
  @Test
  void should_give_a_borrowed_token_back_that_was_not_used() {
    GatewayFixture without = withoutPrimary();
    VmId lender = new VmId("other");
    without.gateway.updateRateShares(Map.of());
    without.gateway.updateLenders(Map.of(SHOP, Map.of(lender, 1.0)));
    FakeCaller caller = without.open(PRIMARY_DATABASE, SHOP_KEY);

    caller.send(StatementKind.READ, "READ item");
    TokenBorrower.LoanRequest ask = without.tokenRequests.get(0);
    without.gateway.admission().onReply(new TokenBorrower.LoanReply(ask.id(), 1, 0));
    without.advanceTime(Duration.ofMillis(500));

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(without.tokensGivenBackTo).containsExactly(lender);
  }

  // Returned tokens must not add up to a burst above the limit.
  @Test
  void should_not_keep_returned_tokens_above_the_limit() {
    GatewayFixture without = withoutPrimary();
    refusedWithoutPrimary(without);
    without.gateway.admission().onReturned(SHOP, 100);
    List<FakeCaller> callers = new ArrayList<>();

    for (int i = 0; i < 4; i++) {
      FakeCaller caller = without.open(PRIMARY_DATABASE, SHOP_KEY);
      caller.read();
      callers.add(caller);
    }

    assertThat(refused(callers)).isEqualTo(2);
  }
}
