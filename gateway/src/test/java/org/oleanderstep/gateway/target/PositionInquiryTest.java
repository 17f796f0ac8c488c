package org.oleanderstep.gateway.target;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.BOUNDED_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.FakeMember;
import org.oleanderstep.gateway.Gateway;
import org.oleanderstep.gateway.GatewayFixture;
import org.oleanderstep.gateway.session.StatementKind;

class PositionInquiryTest {

  private static final LogPosition RECEIVED = new LogPosition(1, 107);

  private static final Duration TYPICAL_LAG = Duration.ofMillis(200);

  private final GatewayFixture fixture = new GatewayFixture();

  private CompletableFuture<Map<MemberId, LogPosition>> askReplicas() {
    return fixture.gateway.askPositions("main", Set.of(fixture.second.id(), fixture.third.id()));
  }

  // A service that is used through primary routes only has no connection to a replica.
  @Test
  void should_ask_members_to_which_no_connection_is_open() {
    fixture.second.receivedPosition = Optional.of(RECEIVED);
    CompletableFuture<Map<MemberId, LogPosition>> asked = askReplicas();

    fixture.advanceTime(Gateway.TICK_INTERVAL.multipliedBy(3));

    assertThat(asked.join())
        .containsExactly(fixture.second.id(), RECEIVED, fixture.third.id(), fixture.third.position);
  }

  // Transactions of callers that pause may hold all connections of a VM.
  @Test
  void should_ask_a_member_whose_connections_are_all_in_use() {
    fixture.setConnections(1);
    FakeCaller reader = fixture.open(BOUNDED_DATABASE, SHOP_KEY);
    reader.read();
    fixture.advanceTime(TYPICAL_LAG);
    reader.run(StatementKind.BEGIN_READ, "BEGIN READ");
    reader.read();
    assertThat(reader.servedBy()).isNotEqualTo("first");
    CompletableFuture<Map<MemberId, LogPosition>> asked = askReplicas();

    fixture.advanceTime(Gateway.TICK_INTERVAL.multipliedBy(3));

    assertThat(asked.join()).hasSize(2);
  }

  @Test
  void should_ask_a_busy_member_again() {
    fixture.third.refusedInquiries = 3;
    CompletableFuture<Map<MemberId, LogPosition>> asked = askReplicas();

    fixture.advanceTime(Gateway.TICK_INTERVAL.multipliedBy(8));

    assertThat(asked.join()).containsKey(fixture.third.id());
  }

  // A failover must not wait for a replica that is frozen.
  @Test
  void should_end_without_the_members_that_do_not_answer() {
    fixture.third.fault = FakeMember.Fault.SILENT;
    CompletableFuture<Map<MemberId, LogPosition>> asked = askReplicas();

    fixture.advanceTime(PositionInquiry.LIMIT.minus(Gateway.TICK_INTERVAL.multipliedBy(2)));
    assertThat(asked.isDone()).isFalse();
    fixture.advanceTime(Gateway.TICK_INTERVAL.multipliedBy(3));

    assertThat(asked.join()).containsExactly(fixture.second.id(), fixture.second.position);
  }
}
