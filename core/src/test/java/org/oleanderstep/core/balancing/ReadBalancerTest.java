package org.oleanderstep.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReadBalancerTest {

  private final ReadBalancer balancer = new ReadBalancer(new SplittableRandom(7));

  private static ReadBalancer.Candidate<String> remote(String member, double millis) {
    return new ReadBalancer.Candidate<>(member, millis, false, false);
  }

  private double shareOf(String member, List<ReadBalancer.Candidate<String>> candidates) {
    int first = 0;
    for (int i = 0; i < 1_000; i++) {
      first += balancer.order(candidates).get(0).equals(member) ? 1 : 0;
    }
    return first / 1_000.0;
  }

  // Bytes between failure domains are expensive.
  @Test
  void should_prefer_a_local_member_of_nearly_the_shortest_time() {
    ReadBalancer.Candidate<String> local = new ReadBalancer.Candidate<>("local", 22, true, false);

    assertThat(shareOf("local", List.of(remote("remote", 20), local))).isEqualTo(1.0);
  }

  // Many processes with the same measurements would otherwise overload the best member in turn.
  @Test
  void should_draw_among_members_of_similar_time() {
    double share = shareOf("a", List.of(remote("a", 20), remote("b", 24)));

    assertThat(share).isGreaterThan(0.5);
    assertThat(share).isLessThan(0.75);
  }

  @Test
  void should_not_draw_a_slow_member() {
    assertThat(shareOf("slow", List.of(remote("a", 20), remote("slow", 31)))).isEqualTo(0.0);
  }

  @Test
  void should_use_a_reserve_only_if_it_is_the_fastest() {
    ReadBalancer.Candidate<String> reserve =
        new ReadBalancer.Candidate<>("primary", 21, true, true);

    assertThat(shareOf("primary", List.of(remote("a", 20), reserve))).isEqualTo(0.0);
    assertThat(shareOf("primary", List.of(remote("a", 22), reserve))).isEqualTo(1.0);
  }
}
