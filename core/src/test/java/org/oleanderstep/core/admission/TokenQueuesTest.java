package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/** A VM without a share that borrows with {@link BorrowingPolicy#RESERVE_FOR_OTHERS}. */
class TokenQueuesTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final VmId LARGE = new VmId("large");
  private static final VmId SMALL = new VmId("small");
  private static final Duration WAIT = Duration.ofMillis(80);
  private static final Map<OrganisationId, RateLimiter.Limit> LIMITS =
      Map.of(SHOP, new RateLimiter.Limit(20, 20));

  private final class Operation implements QueuedOperation {
    private final long arrivedAt = monotonicNanos;
    private String outcome = "waits";

    @Override
    public OrganisationId organisation() {
      return SHOP;
    }

    @Override
    public int priority() {
      return 0;
    }

    @Override
    public Duration remainingWait(long now) {
      return WAIT.minusNanos(now - arrivedAt);
    }

    @Override
    public void admit() {
      outcome = "admitted";
    }

    @Override
    public void refuse() {
      outcome = "refused";
    }
  }

  private final List<TokenBorrower.LoanRequest> requests = new ArrayList<>();
  private final List<String> messages = new ArrayList<>();
  private final TokenBorrower borrower = new TokenBorrower(1, BorrowingPolicy.RESERVE_FOR_OTHERS);
  private final TokenQueues queues =
      new TokenQueues(
          new RateLimiter(),
          borrower,
          new DemandMeter(0),
          this::read,
          new RecordingLenders(),
          new AdmissionListener() {});
  private long monotonicNanos;
  private long wallClockMillis = 1_000_000;

  @BeforeEach
  void setLenders() {
    borrower.update(LIMITS, Map.of(SHOP, Map.of(LARGE, 0.6, SMALL, 0.4)));
  }

  private ClockReading read() {
    return new ClockReading(monotonicNanos, wallClockMillis);
  }

  private void advance(long millis) {
    monotonicNanos += Duration.ofMillis(millis).toNanos();
    wallClockMillis += millis;
    queues.tick();
  }

  private Operation submit() {
    Operation operation = new Operation();
    queues.submit(operation);
    return operation;
  }

  private void reply(int request, int tokens, double remaining) {
    long id = requests.get(request).id();
    queues.onReply(new TokenBorrower.LoanReply(id, tokens, remaining));
  }

  // An operation with a target of 100 ms may wait for 40 ms; with one lender it would be refused.
  @Test
  void should_ask_a_second_lender_when_the_first_does_not_answer() {
    Operation operation = submit();
    advance(20);
    assertThat(requests.stream().map(TokenBorrower.LoanRequest::lender))
        .containsExactly(LARGE, SMALL)
        .inOrder();

    reply(1, 1, 5);

    assertThat(operation.outcome).isEqualTo("admitted");
  }

  // The next token of the large lender is there 50 ms after it has reported half a token.
  @Test
  void should_wait_for_a_token_that_is_due_in_time() {
    Operation operation = submit();
    reply(0, 0, 0.5);
    reply(1, 0, -10);
    assertThat(operation.outcome).isEqualTo("waits");

    advance(60);
    reply(2, 1, 0.1);

    assertThat(requests.get(2).lender()).isEqualTo(LARGE);
    assertThat(operation.outcome).isEqualTo("admitted");
  }

  // Refused operations of a flood must cost no datagrams before a lender can have a token.
  @Test
  void should_refuse_without_a_request_while_no_lender_can_have_a_token() {
    submit();
    reply(0, 0, -10);
    reply(1, 0, -10);

    for (int i = 0; i < 1_000; i++) {
      assertThat(submit().outcome).isEqualTo("refused");
    }

    assertThat(requests).hasSize(2);
  }

  // Tokens in excess would be lost to the organisation.
  @Test
  void should_use_tokens_in_excess_and_give_the_rest_back() {
    submit();
    reply(0, 3, 5);
    assertThat(submit().outcome).isEqualTo("admitted");
    assertThat(messages).isEmpty();

    advance(160);

    assertThat(messages).containsExactly("1 unused");
    assertThat(requests).hasSize(1);
  }

  // The lender counts a loan for 300 ms. A VM that was paused must neither use it nor return it.
  @Test
  void should_drop_tokens_in_excess_after_a_pause() {
    submit();
    reply(0, 3, 5);

    wallClockMillis += 3_000;
    assertThat(submit().outcome).isNotEqualTo("admitted");
    queues.tick();

    assertThat(messages).isEmpty();
  }

  private final class RecordingLenders implements TokenLenders {
    @Override
    public void ask(TokenBorrower.LoanRequest ask) {
      requests.add(ask);
    }

    @Override
    public void confirm(TokenBorrower.LoanRequest ask) {
      messages.add("confirmed");
    }

    @Override
    public void giveBack(TokenBorrower.LoanRequest ask, int unused) {
      messages.add(unused + " unused");
    }

    @Override
    public void giveBack(VmId lender, OrganisationId organisation) {
      messages.add("returned");
    }
  }
}
