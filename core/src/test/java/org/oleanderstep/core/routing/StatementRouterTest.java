package org.oleanderstep.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.position.ReadRequirement;

class StatementRouterTest {

  private static final DatabaseId DATABASE = new DatabaseId("service", "orders");
  private static final MemberId A = new MemberId("a");
  private static final MemberId B = new MemberId("b");
  private static final MemberId C = new MemberId("c");
  private static final long NOW = 1_000_000_000L;

  private final StatementRouter router = new StatementRouter(OutstandingStatements.FROM_VIEW);
  private final RandomGenerator random = new SplittableRandom(1);

  private static LogPosition at(long index) {
    return new LogPosition(3, index);
  }

  private static ReadRequirement atLeast(long index) {
    return new ReadRequirement.AtLeast(at(index));
  }

  private static MemberView member(MemberId id, long applied, int outstanding) {
    return new MemberView(id, "i", at(applied), 1_000, outstanding, false, true, false, false);
  }

  private static GroupView view(MemberView... members) {
    return new GroupView(DATABASE, 3, Optional.of(A), List.of(members));
  }

  private RouteDecision read(GroupView view, ReadRequirement requirement) {
    return router.routeRead(view, requirement, ReadRule.SESSION, NOW, random);
  }

  private static RouteDecision run(MemberId member, long index) {
    return new RouteDecision.Run(member, 3, at(index));
  }

  @Test
  void should_read_from_a_replica_that_satisfies_the_requirement_of_the_session() {
    GroupView view = view(member(A, 9, 0), member(B, 4, 0), member(C, 5, 0));
    assertThat(read(view, atLeast(5))).isEqualTo(run(C, 5));
  }

  @Test
  void should_prefer_the_replica_with_fewer_outstanding_statements() {
    GroupView view = view(member(A, 9, 0), member(B, 9, 3), member(C, 9, 2));
    for (int i = 0; i < 20; i++) {
      assertThat(read(view, atLeast(5))).isEqualTo(run(C, 5));
    }
  }

  @Test
  void should_use_the_primary_when_replicas_are_overloaded() {
    GroupView view = view(member(A, 9, 0), member(B, 9, 30), member(C, 1, 0));
    assertThat(read(view, atLeast(5))).isEqualTo(run(A, 5));
  }

  @Test
  void should_wait_for_a_replica_that_catches_up_in_time_and_only_once() {
    GroupView view = view(member(A, 30, 0), member(B, 20, 0), member(C, 0, 0));
    assertThat(read(view, atLeast(25)))
        .isEqualTo(new RouteDecision.WaitForPosition(B, at(25), Duration.ofMillis(5)));
    assertThat(router.routeReadAfterWait(view, atLeast(25), ReadRule.SESSION, NOW, random))
        .isEqualTo(run(A, 25));
  }

  @Test
  void should_not_wait_for_a_replica_that_needs_longer_than_the_rule_allows() {
    GroupView view = view(member(A, 99, 0), member(B, 20, 0));
    assertThat(read(view, atLeast(99))).isEqualTo(run(A, 99));
  }

  // A session that wrote to a newer primary would miss its writes on the older one (H1).
  @Test
  void should_not_use_a_primary_of_an_earlier_term_than_the_session_has_seen() {
    GroupView view = view(member(A, 99, 0), member(B, 99, 0));
    ReadRequirement laterTerm = new ReadRequirement.AtLeast(new LogPosition(4, 1));
    assertThat(router.routeReadAfterWait(view, laterTerm, ReadRule.SESSION, NOW, random))
        .isEqualTo(new RouteDecision.WaitForPrimary());
    assertThat(read(view, new ReadRequirement.PrimaryOnly(new LogPosition(4, 0))))
        .isEqualTo(new RouteDecision.WaitForPrimary());
  }

  // A leaving member is about to stop (H11), and a joining one may still rebuild its data.
  @Test
  void should_not_route_reads_to_leaving_or_joining_members() {
    MemberView leaving = new MemberView(B, "i", at(9), 1_000, 0, false, true, true, false);
    MemberView joining = new MemberView(C, "i", at(9), 1_000, 0, false, true, false, true);
    assertThat(read(view(member(A, 9, 0), leaving, joining), atLeast(5))).isEqualTo(run(A, 5));
  }

  // Without a confirmed position as of the age limit, the data of a replica may be too old.
  @Test
  void should_read_with_a_maximum_age_only_from_confirmed_positions() {
    ReadRule limitedAge = new ReadRule(Optional.of(Duration.ofNanos(100)), Duration.ZERO);
    List<MemberView> members = List.of(member(A, 9, 0), member(B, 6, 0), member(C, 7, 0));
    GroupView confirmed =
        new GroupView(
            DATABASE,
            3,
            Optional.of(A),
            members,
            List.of(
                new ConfirmedPosition(NOW - 150, at(6)), new ConfirmedPosition(NOW - 90, at(7))));
    assertThat(router.routeRead(confirmed, atLeast(1), limitedAge, NOW, random))
        .isEqualTo(run(C, 7));
    assertThat(
            router.routeRead(
                view(member(A, 9, 0), member(B, 9, 0)), atLeast(1), limitedAge, NOW, random))
        .isEqualTo(run(A, 1));
  }

  // The known primary may have been replaced, and a session without a token may have written to its
  // successor (H1).
  @Test
  void should_ask_the_members_first_for_an_unknown_session_by_default() {
    GroupView view = view(member(A, 9, 0), member(B, 9, 0));
    ReadRequirement unknownSession = new ReadRequirement.PrimaryOnly();
    StatementRouter withoutAsking =
        new StatementRouter(
            OutstandingStatements.FROM_VIEW,
            StatementRouter.UnknownSessionPolicy.RUN_ON_KNOWN_PRIMARY);
    assertThat(read(view, unknownSession)).isEqualTo(new RouteDecision.AskMembers());
    assertThat(withoutAsking.routeRead(view, unknownSession, ReadRule.SESSION, NOW, random))
        .isEqualTo(new RouteDecision.Run(A, 3));
  }

  @Test
  void should_send_writes_to_the_primary_only() {
    assertThat(router.routeWrite(view(member(A, 9, 0), member(B, 9, 0))))
        .isEqualTo(new RouteDecision.Run(A, 3));
    assertThat(router.routeWrite(view(member(B, 9, 0))))
        .isEqualTo(new RouteDecision.WaitForPrimary());
    assertThat(router.routeWrite(view()))
        .isEqualTo(new RouteDecision.Refuse(NotRunReason.NO_PRIMARY));
  }

  // A transaction reads on the primary; one of an earlier term lacks the session's own writes.
  @Test
  void should_not_begin_a_transaction_on_a_primary_of_an_earlier_term_than_the_session_has_seen() {
    GroupView view = view(member(A, 9, 0), member(B, 9, 0));
    assertThat(router.routeWrite(view, new LogPosition(4, 1)))
        .isEqualTo(new RouteDecision.WaitForPrimary());
    assertThat(router.routeWrite(view, at(7))).isEqualTo(run(A, 7));
  }
}
