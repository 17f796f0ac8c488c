package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;

class ServiceQueueTest {

  private static final long MILLI = 1_000_000L;
  private static final long TARGET = 100 * MILLI;
  private static final long LIMIT = 500 * MILLI;

  private record Request(OrganisationId organisation, int priority, boolean needsPrimary, long at)
      implements QueuedRequest {

    @Override
    public long targetAt() {
      return at + TARGET;
    }

    @Override
    public long targetNanos() {
      return TARGET;
    }

    @Override
    public long expiresAt() {
      return at + LIMIT;
    }
  }

  private static final class Members implements ServiceQueue.Members {
    private long primaryInNanos;

    @Override
    public boolean available(boolean primary) {
      return availableInNanos(primary) == 0;
    }

    @Override
    public int concurrency(boolean primary) {
      return 1;
    }

    @Override
    public long availableInNanos(boolean primary) {
      return primary ? primaryInNanos : 0;
    }
  }

  private final Members members = new Members();
  private final ServiceQueue<Request> queue =
      new ServiceQueue<>(60, members, new SplittableRandom(7), 0);

  private static Request request(String organisation, int priority, long at) {
    return new Request(new OrganisationId(organisation), priority, false, at);
  }

  private Optional<ServiceQueue.Refused<Request>> offer(
      String organisation, int priority, long at) {
    return queue.offer(request(organisation, priority, at), at);
  }

  private List<Request> takeAll() {
    List<Request> taken = new ArrayList<>();
    queue.startPass();
    Optional<Request> next = queue.next(0, request -> true);
    while (next.isPresent()) {
      taken.add(next.get());
      next = queue.next(0, request -> true);
    }
    return taken;
  }

  // Guards against tolerant requests that are served before urgent ones, or never.
  @Test
  void should_serve_urgent_requests_first_and_each_tenth_of_the_least_urgent() {
    for (int i = 0; i < 20; i++) {
      offer("a", 2, 0);
      offer("b", 0, 0);
    }
    List<Integer> order = takeAll().stream().map(Request::priority).toList();
    assertThat(order.subList(0, 9)).containsExactly(0, 0, 0, 0, 0, 0, 0, 0, 0);
    assertThat(order.get(9)).isEqualTo(2);
    assertThat(order.subList(10, 19)).doesNotContain(2);
  }

  // Guards against one organisation whose requests hold up those of all others.
  @Test
  void should_serve_organisations_in_proportion_to_their_weights() {
    queue.setWeights(Map.of(new OrganisationId("a"), 30.0, new OrganisationId("b"), 10.0));
    for (int i = 0; i < 20; i++) {
      offer("a", 1, 0);
    }
    for (int i = 0; i < 20; i++) {
      offer("b", 1, 0);
    }
    long ofB =
        takeAll().subList(0, 20).stream().filter(r -> r.organisation().name().equals("b")).count();
    assertThat(ofB).isEqualTo(5);
  }

  // Guards against passes whose cost grows with the number of waiting requests.
  @Test
  void should_try_a_few_requests_of_each_organisation_only() {
    for (int i = 0; i < 60; i++) {
      offer(i % 2 == 0 ? "a" : "b", 1, 0);
    }
    List<Request> tried = new ArrayList<>();
    queue.startPass();
    assertThat(queue.next(0, request -> !tried.add(request))).isEmpty();
    assertThat(queue.next(0, request -> !tried.add(request))).isEmpty();
    assertThat(tried).hasSize(8);
  }

  // Guards against requests that wait although they can't be served before they expire.
  @Test
  void should_refuse_on_arrival_what_cannot_be_served_in_time() {
    assertThat(offer("a", 1, 0)).isEmpty();
    queue.recordHoldTime(false, 400 * MILLI, 0);
    QueueRefusal refusal = offer("a", 1, 0).orElseThrow().refusal();
    assertThat(refusal.reason()).isEqualTo(QueueRefusal.Reason.ON_ARRIVAL);
    assertThat(refusal.text()).containsMatch("; retry in [0-9]+ ms");
    assertThat(offer("b", 0, 0)).isEmpty();
  }

  // Guards against a queue that never drains and answers every request after its target.
  @Test
  void should_accept_bursts_but_no_requests_beyond_their_target_when_the_queue_stands() {
    queue.recordHoldTime(false, 20 * MILLI, 0);
    for (int i = 0; i < 15; i++) {
      assertThat(offer("a", 1, 0)).isEmpty();
    }
    long later = TARGET + MILLI;
    assertThat(offer("a", 1, later)).isPresent();
    assertThat(offer("b", 1, later)).isEmpty();
  }

  // Guards against estimates from long ago that refuse what could be served.
  @Test
  void should_expect_no_wait_without_recent_measurements() {
    offer("a", 1, 0);
    queue.recordHoldTime(false, 10_000 * MILLI, 0);
    assertThat(offer("a", 1, 6_000 * MILLI)).isEmpty();
  }

  // Guards against requests that are held until they expire when members have become slower.
  @Test
  void should_refuse_waiting_requests_when_the_estimate_rises() {
    for (int i = 0; i < 5; i++) {
      offer("a", 1, 0);
    }
    queue.recordHoldTime(false, 300 * MILLI, 0);
    List<ServiceQueue.Refused<Request>> refused = queue.removeUnservable(0);
    assertThat(refused).hasSize(3);
    assertThat(refused.get(0).refusal().reason()).isEqualTo(QueueRefusal.Reason.ESTIMATE_ROSE);
    assertThat(queue.size()).isEqualTo(2);
  }

  // Guards against urgent requests that are refused while less urgent ones wait, and against one
  // organisation that fills the queue.
  @Test
  void should_shed_the_least_urgent_of_the_organisation_with_most_requests() {
    for (int i = 0; i < 59; i++) {
      offer("hot", 1, i);
    }
    offer("other", 1, 0);
    assertThat(offer("urgent", 0, 60).orElseThrow().request().at()).isEqualTo(58);
    assertThat(offer("other", 1, 61).orElseThrow().request().at()).isEqualTo(57);
    assertThat(offer("hot", 1, 62).orElseThrow().request().at()).isEqualTo(62);
    assertThat(offer("hot", 2, 63).orElseThrow().request().at()).isEqualTo(63);
    assertThat(queue.size()).isEqualTo(60);
  }

  // Guards against requests that wait for a primary that can't be there in time, and against
  // refusals while a promotion is about to end.
  @Test
  void should_wait_for_a_primary_only_if_it_is_expected_in_time() {
    members.primaryInNanos = LIMIT - MILLI;
    Request request = new Request(new OrganisationId("a"), 1, true, 0);
    assertThat(queue.offer(request, 0)).isEmpty();
    assertThat(queue.next(0, r -> true)).isEmpty();
    assertThat(queue.removeUnservable(0)).isEmpty();
    members.primaryInNanos = LIMIT + MILLI;
    List<ServiceQueue.Refused<Request>> refused = queue.removeUnservable(0);
    assertThat(refused.get(0).refusal().reason()).isEqualTo(QueueRefusal.Reason.NO_MEMBER);
    assertThat(queue.size()).isEqualTo(0);
  }

  // Guards against a new connection that is closed for another organisation before it is used, and
  // against an organisation that keeps its connection for ever.
  @Test
  void should_serve_ahead_of_turn_on_a_free_connection_for_a_limited_number_of_requests() {
    for (int i = 0; i < 10; i++) {
      offer("a", 1, 0);
      offer("b", 1, 0);
    }
    offer("urgent", 0, 0);
    OrganisationId a = new OrganisationId("a");
    assertThat(queue.nextOf(a, false, 0, r -> true)).isEmpty();
    int served = 0;
    while (queue.nextOf(a, true, 0, r -> true).isPresent()) {
      served++;
    }
    assertThat(served).isEqualTo(6);
    assertThat(
            takeAll().subList(1, 7).stream().map(r -> r.organisation().name()).distinct().toList())
        .containsExactly("b");
  }
}
