package org.oleanderstep.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.failover.MemberRole;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

class GroupTrackerTest {

  private static final MemberId A = new MemberId("a");
  private static final MemberId B = new MemberId("b");
  private static final MemberId C = new MemberId("c");

  private final GroupTracker tracker =
      new GroupTracker(new DatabaseId("service", "orders"), List.of(A, B, C), Set.of(B));

  private static MemberStatus status(
      MemberId member, String incarnation, MemberRole role, long term, long promised, long index) {
    LogPosition position = new LogPosition(term, index);
    return new MemberStatus(
        member,
        incarnation,
        role,
        term,
        promised,
        "candidate",
        position,
        position,
        Duration.ZERO,
        role == MemberRole.PRIMARY,
        false,
        Optional.empty());
  }

  private static MemberStatus replica(MemberId member, String incarnation, long index) {
    return status(member, incarnation, MemberRole.REPLICA, 1, 1, index);
  }

  private LogPosition appliedOf(MemberId member) {
    return tracker.view().members().stream()
        .filter(view -> view.member().equals(member))
        .map(MemberView::applied)
        .findFirst()
        .orElseThrow();
  }

  // A restarted member may have less data than before. By its old position, it would get reads that
  // miss the writes of their own session (H1).
  @Test
  void should_discard_positions_when_the_incarnation_changes() {
    tracker.onStatus(replica(B, "one", 9), 0, 1);
    tracker.onStatus(replica(B, "two", 4), 10, 11);
    tracker.onStatementResponse(B, "one", new LogPosition(1, 9), 12);
    assertThat(appliedOf(B)).isEqualTo(new LogPosition(1, 4));
  }

  // A delayed reply must not restore an earlier incarnation and its higher position (H1).
  @Test
  void should_not_trust_any_incarnation_while_requests_overlap() {
    tracker.onStatus(replica(B, "two", 4), 10, 20);
    tracker.onStatus(replica(B, "one", 9), 5, 21);
    assertThat(appliedOf(B)).isEqualTo(LogPosition.START);
    tracker.onStatus(replica(B, "two", 4), 30, 31);
    assertThat(appliedOf(B)).isEqualTo(new LogPosition(1, 4));
  }

  @Test
  void should_have_no_primary_once_a_higher_term_is_known() {
    tracker.onStatus(status(A, "one", MemberRole.PRIMARY, 1, 1, 5), 0, 1);
    assertThat(tracker.view().primary()).isEqualTo(Optional.of(A));
    tracker.onTerm(2);
    assertThat(tracker.view().primary()).isEqualTo(Optional.empty());
    tracker.onStatus(status(A, "one", MemberRole.PRIMARY, 1, 1, 5), 10, 11);
    assertThat(tracker.view().primary()).isEqualTo(Optional.empty());
    assertThat(tracker.view().members().get(0).joining()).isTrue();
  }

  // A primary may not know yet that it has been replaced. If its status alone confirmed a position,
  // sessions without a token could miss their own writes (H1).
  @Test
  void should_confirm_positions_only_by_a_majority_without_a_higher_promise() {
    tracker.onStatus(status(A, "one", MemberRole.PRIMARY, 1, 1, 5), 100, 101);
    tracker.onStatus(status(B, "one", MemberRole.REPLICA, 1, 2, 5), 100, 102);
    assertThat(tracker.view().positionAsOf(0)).isEqualTo(Optional.empty());
    tracker.onStatus(replica(C, "one", 3), 90, 103);
    assertThat(tracker.view().positionAsOf(90)).isEqualTo(Optional.of(new LogPosition(1, 5)));
    assertThat(tracker.view().positionAsOf(91)).isEqualTo(Optional.empty());
  }

  // A delayed reply must not restore a primary that has lost its majority since (H1).
  @Test
  void should_not_take_the_primary_from_a_reply_to_an_earlier_request() {
    MemberStatus withMajority = status(A, "one", MemberRole.PRIMARY, 1, 1, 5);
    MemberStatus withoutMajority =
        new MemberStatus(
            A,
            "one",
            MemberRole.PRIMARY,
            1,
            1,
            "candidate",
            withMajority.applied(),
            withMajority.applied(),
            Duration.ZERO,
            false,
            false,
            Optional.empty());
    tracker.onStatus(replica(B, "one", 5), 20, 21);
    tracker.onStatus(withoutMajority, 20, 22);
    tracker.onStatus(withMajority, 10, 23);
    assertThat(tracker.view().primary()).isEqualTo(Optional.empty());
    assertThat(tracker.view().positionAsOf(0)).isEqualTo(Optional.empty());
  }

  @Test
  void should_publish_the_same_view_while_nothing_changes() {
    tracker.onStatus(replica(B, "one", 9), 0, 1);
    GroupView first = tracker.view();
    tracker.onStatementResponse(B, "one", new LogPosition(1, 9), 2);
    assertThat(tracker.view()).isSameInstanceAs(first);
    tracker.onFailure(B);
    assertThat(tracker.view().members().get(1).reachable()).isFalse();
  }
}
