package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;

class ColdLimitTest {

  private static final MemberId MEMBER = new MemberId("member");
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final long STEP = Duration.ofMillis(20).toNanos();

  private static Set<VmId> vms(int count) {
    return IntStream.range(0, count).mapToObj(i -> new VmId("vm-" + i)).collect(Collectors.toSet());
  }

  /** Returns the most requests in any second, of VMs that all send whenever they may. */
  private static int mostInAnySecond(double bound, int count, int newVms, long maxSkewMillis) {
    Random random = new Random(7);
    List<Long> sent = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      // The new VMs know each other; the others have not learned of them yet.
      Set<VmId> known = vms(i < count - newVms ? count - newVms : count);
      ColdShare share = new ColdShare(bound, new VmId("vm-" + i), known);
      long skew = maxSkewMillis == 0 ? 0 : random.nextLong(-maxSkewMillis, maxSkewMillis);
      ColdLimit limit = new ColdLimit(MEMBER, 0);
      limit.onReported(Duration.ofSeconds(60), 0);
      for (long now = random.nextLong(STEP); now < 30 * SECOND; now += STEP) {
        while (limit.allowsRequest(share, now, now / 1_000_000 + skew)) {
          limit.onSent(now);
          sent.add(now);
        }
      }
    }
    return mostInAnySecond(sent);
  }

  private static int mostInAnySecond(List<Long> sent) {
    sent.sort(null);
    int most = 0;
    int from = 0;
    for (int i = 0; i < sent.size(); i++) {
      while (sent.get(i) - sent.get(from) >= SECOND) {
        from++;
      }
      most = Math.max(most, i - from + 1);
    }
    return most;
  }

  // A cold member serves a few requests a second; a queue that exceeds that lasts for seconds. The
  // VMs share no counter, and a fifth of them may not be known to the others yet.
  @ParameterizedTest
  @CsvSource({
    "35,1,0,0",
    "35,5,1,0",
    "35,23,0,0",
    "35,23,4,500",
    "35,99,0,0",
    "35,99,19,500",
    "6.5,99,10,500"
  })
  void should_keep_the_sum_over_all_vms_under_the_bound(
      double bound, int count, int newVms, long maxSkewMillis) {
    int most = mostInAnySecond(bound, count, newVms, maxSkewMillis);

    assertThat(most).isAtMost((int) bound);
    assertThat(most).isAtLeast(1);
  }

  // A VM that never has a turn could not serve writes while its primary is cold.
  @Test
  void should_give_every_vm_a_turn() {
    Set<VmId> all = vms(99);
    Set<VmId> served = new HashSet<>();
    for (VmId vm : all) {
      ColdShare share = new ColdShare(35, vm, all);
      for (long millis = 0; millis < 120_000; millis += ColdShare.TURN.toMillis()) {
        if (share.permits(MEMBER, millis) > 0) {
          served.add(vm);
        }
      }
    }
    assertThat(served).isEqualTo(all);
  }

  // A VM that knows no other one yet would take the whole bound for itself.
  @Test
  void should_send_nothing_to_a_cold_member_before_the_vms_are_known() {
    ColdLimit limit = new ColdLimit(MEMBER, 0);
    limit.onReported(Duration.ofSeconds(1), 0);
    ColdShare unknown = new ColdShare(35, new VmId("vm-1"), Set.of());

    assertThat(limit.allowsRequest(unknown, 0, 0)).isFalse();
    assertThat(limit.allowsRequest(unknown, SECOND, 0)).isTrue();
    assertThat(limit.allowsRequest(ColdShare.UNLIMITED, 0, 0)).isTrue();
  }

  // What was sent just before the entry of the cold member arrived counts in its first second.
  @Test
  void should_count_requests_from_before_the_member_was_known_to_be_cold() {
    ColdLimit limit = new ColdLimit(MEMBER, 0);
    ColdShare share = new ColdShare(2, new VmId("vm-0"), vms(1));
    limit.onSent(0);
    limit.onReported(Duration.ofSeconds(10), 1);

    assertThat(limit.allowsRequest(share, 1, 0)).isFalse();
    assertThat(limit.allowsRequest(share, 2 * SECOND, 0)).isTrue();
  }
}
