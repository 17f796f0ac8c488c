package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.simulation.EventLoop;

class FairQueueTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final OrganisationId A = new OrganisationId("a");
  private static final OrganisationId B = new OrganisationId("b");
  private static final OrganisationId C = new OrganisationId("c");

  private final FairQueue<String> queue = new FairQueue<>(3);

  private Optional<String> poll() {
    return queue.poll(0, organisation -> true);
  }

  @Nested
  class ServiceOrder {

    @Test
    void should_alternate_between_organisations_of_equal_weight() {
      List.of("a1", "a2", "a3").forEach(request -> queue.offer(A, request, SECOND));
      queue.offer(B, "b1", SECOND);
      queue.offer(B, "b2", SECOND);
      List<String> order = List.of(poll().get(), poll().get(), poll().get(), poll().get());
      assertThat(order).containsExactly("a1", "b1", "a2", "b2").inOrder();
    }

    @Test
    void should_serve_in_proportion_to_weights_that_are_far_apart() {
      FairQueue<String> large = new FairQueue<>(2_000);
      large.setWeight(A, 0.5);
      large.setWeight(B, 50);
      for (int i = 0; i < 2_000; i++) {
        large.offer(A, "a", SECOND);
        large.offer(B, "b", SECOND);
      }
      int servedA = 0;
      for (int i = 0; i < 1_010; i++) {
        servedA += large.poll(0, organisation -> true).get().equals("a") ? 1 : 0;
      }
      assertThat(servedA).isIn(List.of(9, 10, 11));
    }

    @Test
    void should_skip_an_organisation_that_is_not_eligible() {
      queue.offer(A, "a1", SECOND);
      queue.offer(B, "b1", SECOND);
      assertThat(queue.poll(0, B::equals)).hasValue("b1");
      assertThat(queue.poll(0, B::equals)).isEmpty();
      assertThat(poll()).hasValue("a1");
    }

    // An organisation that was idle must not overtake the others with unused credit.
    @Test
    void should_not_accumulate_credit_for_an_idle_organisation() {
      FairQueue<String> large = new FairQueue<>(100);
      for (int i = 0; i < 50; i++) {
        large.offer(A, "a", SECOND);
      }
      for (int i = 0; i < 40; i++) {
        large.poll(0, organisation -> true);
      }
      large.offer(B, "b", SECOND);
      large.offer(B, "b", SECOND);
      large.offer(B, "b", SECOND);
      String next = "";
      for (int i = 0; i < 4; i++) {
        next += large.poll(0, organisation -> true).get();
      }
      assertThat(next).isAnyOf("abab", "baba");
    }
  }

  @Nested
  class Bounds {

    @Test
    void should_refuse_a_request_above_the_capacity_of_its_organisation_only() {
      for (int i = 0; i < 3; i++) {
        assertThat(queue.offer(A, "a" + i, SECOND)).isTrue();
      }
      assertThat(queue.offer(A, "a3", SECOND)).isFalse();
      assertThat(queue.offer(B, "b1", SECOND)).isTrue();
      assertThat(queue.size()).isEqualTo(4);
    }

    // A request that runs after its deadline may already have been reported as not run.
    @Test
    void should_return_an_expired_request_and_never_dispatch_it() {
      queue.offer(A, "late", 10);
      queue.offer(A, "good", 1_000);
      assertThat(queue.poll(10, organisation -> true)).hasValue("good");
      assertThat(queue.poll(10, organisation -> true)).isEmpty();
      assertThat(queue.removeExpired(9)).isEmpty();
      assertThat(queue.removeExpired(10)).containsExactly("late");
      assertThat(queue.size()).isEqualTo(0);
    }

    @Test
    void should_return_all_requests_when_drained() {
      queue.offer(A, "a1", SECOND);
      queue.offer(B, "b1", SECOND);
      assertThat(queue.drain()).containsExactly("a1", "b1");
      assertThat(queue.othersWait(C)).isFalse();
    }

    @Test
    void should_report_whether_other_organisations_wait() {
      queue.offer(A, "a1", SECOND);
      assertThat(queue.othersWait(A)).isFalse();
      assertThat(queue.othersWait(B)).isTrue();
    }

    // Each accepted request must be dispatched once or returned once.
    @Test
    void should_neither_lose_nor_repeat_a_request() {
      Random random = new Random(5);
      FairQueue<Integer> target = new FairQueue<>(20);
      Map<Integer, Integer> seen = new HashMap<>();
      int accepted = 0;
      for (int step = 0; step < 20_000; step++) {
        OrganisationId organisation = List.of(A, B, C).get(random.nextInt(3));
        switch (random.nextInt(4)) {
          case 0, 1 ->
              accepted += target.offer(organisation, step, step + random.nextInt(50)) ? 1 : 0;
          case 2 ->
              target
                  .poll(step, id -> !id.equals(organisation))
                  .ifPresent(request -> seen.merge(request, 1, Integer::sum));
          default ->
              target.removeExpired(step).forEach(request -> seen.merge(request, 1, Integer::sum));
        }
      }
      target.drain().forEach(request -> seen.merge(request, 1, Integer::sum));
      assertThat(seen).hasSize(accepted);
      assertThat(seen.values()).doesNotContain(2);
      assertThat(accepted).isGreaterThan(5_000);
    }
  }

  /** One organisation sends ten times its rate to a member with little spare capacity. */
  @Nested
  class Overload {

    private static final int RATE = 50;
    private static final int ORGANISATIONS = 8;
    private static final long SERVICE_TIME = SECOND / 440;

    interface RequestQueue {
      boolean offer(OrganisationId organisation, long deadline);

      Optional<OrganisationId> poll(long now);
    }

    private RequestQueue fair() {
      FairQueue<OrganisationId> target = new FairQueue<>(64);
      return new RequestQueue() {
        @Override
        public boolean offer(OrganisationId organisation, long deadline) {
          return target.offer(organisation, organisation, deadline);
        }

        @Override
        public Optional<OrganisationId> poll(long now) {
          target.removeExpired(now);
          return target.poll(now, organisation -> true);
        }
      };
    }

    /** First come, first served, with the same deadline and the same total capacity. */
    private RequestQueue fifo() {
      record Item(OrganisationId organisation, long deadline) {}

      Deque<Item> items = new ArrayDeque<>();
      return new RequestQueue() {
        @Override
        public boolean offer(OrganisationId organisation, long deadline) {
          return items.size() < 64 * ORGANISATIONS && items.add(new Item(organisation, deadline));
        }

        @Override
        public Optional<OrganisationId> poll(long now) {
          items.removeIf(item -> item.deadline() <= now);
          return Optional.ofNullable(items.poll()).map(Item::organisation);
        }
      };
    }

    /** Returns the share of requests that were served, over the seven other organisations. */
    private double goodput(RequestQueue requests, int overloadFactor) {
      EventLoop loop = new EventLoop(0);
      Random random = new Random(21);
      int[] offered = {0};
      int[] served = {0};
      for (int index = 0; index < ORGANISATIONS; index++) {
        OrganisationId organisation = new OrganisationId("org-" + index);
        int rate = index == 0 ? RATE * overloadFactor : RATE;
        boolean counted = index != 0;
        Runnable[] arrival = new Runnable[1];
        arrival[0] =
            () -> {
              offered[0] += counted ? 1 : 0;
              requests.offer(organisation, loop.nanoTime() + 200 * MILLI);
              double pause = -Math.log(1 - random.nextDouble()) / rate;
              loop.at(loop.nanoTime() + (long) (pause * SECOND), arrival[0]);
            };
        loop.at(0, arrival[0]);
      }
      Runnable[] server = new Runnable[1];
      server[0] =
          () -> {
            requests
                .poll(loop.nanoTime())
                .ifPresent(
                    organisation -> served[0] += organisation.name().equals("org-0") ? 0 : 1);
            loop.at(loop.nanoTime() + SERVICE_TIME, server[0]);
          };
      loop.at(0, server[0]);
      loop.runUntil(60 * SECOND);
      return (double) served[0] / offered[0];
    }

    @Test
    void should_keep_the_goodput_of_the_others_when_one_sends_ten_times_its_rate() {
      double alone = goodput(fair(), 1);
      double overloaded = goodput(fair(), 10);
      System.out.printf("goodput of the others: %.4f, overloaded %.4f%n", alone, overloaded);
      assertThat(overloaded).isAtLeast(0.99 * alone);
      assertThat(alone).isGreaterThan(0.95);
    }

    // Shows that the goodput measured above can fall with an unfair queue.
    @Test
    void should_measure_a_lower_goodput_of_the_others_with_first_come_first_served() {
      double overloaded = goodput(fifo(), 10);
      System.out.printf("goodput of the others, first come first served: %.4f%n", overloaded);
      assertThat(overloaded).isLessThan(0.8);
    }
  }
}
