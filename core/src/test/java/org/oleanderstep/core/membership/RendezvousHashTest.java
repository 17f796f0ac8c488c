package org.oleanderstep.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** All VMs must choose the same candidates, and the loss of one must not move the others. */
final class RendezvousHashTest {

  private static final List<String> NAMES =
      IntStream.range(0, 40).mapToObj(i -> "vm-" + i).toList();

  private static List<String> first(List<String> names, int count) {
    return RendezvousHash.first("acme", names, name -> name, count);
  }

  @Test
  void should_choose_the_candidates_that_rank_first() {
    List<String> chosen = first(NAMES, 3);
    for (int i = 0; i < chosen.size(); i++) {
      assertThat(RendezvousHash.rank("acme", chosen.get(i), NAMES)).isEqualTo(i);
    }
  }

  @Test
  void should_choose_the_same_candidates_in_any_order_of_the_names() {
    List<String> reversed = new ArrayList<>(NAMES);
    Collections.reverse(reversed);
    assertThat(first(reversed, 5)).isEqualTo(first(NAMES, 5));
  }

  @Test
  void should_replace_only_a_lost_candidate() {
    List<String> before = first(NAMES, 4);
    List<String> left = new ArrayList<>(NAMES);
    left.remove(before.get(1));
    assertThat(first(left, 4)).containsAtLeast(before.get(0), before.get(2), before.get(3));
  }

  @Test
  void should_choose_all_if_there_are_too_few() {
    assertThat(first(NAMES.subList(0, 2), 4)).hasSize(2);
  }
}
