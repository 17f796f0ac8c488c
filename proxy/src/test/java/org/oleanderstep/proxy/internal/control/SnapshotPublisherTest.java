package org.oleanderstep.proxy.internal.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.membership.TrustEvidence;
import org.oleanderstep.core.membership.TrustPolicy;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;

class SnapshotPublisherTest {

  private long now = 1;
  private final SnapshotPublisher publisher =
      new SnapshotPublisher(new TrustPolicy(Duration.ofSeconds(4)), () -> now, snapshot(false));

  private static ControlSnapshot snapshot(boolean trusted) {
    return new ControlSnapshot(
        new VmId("vm-1"),
        "i",
        Optional.empty(),
        trusted,
        trusted,
        false,
        1,
        Map.of(),
        Map.of(),
        Set.of());
  }

  private void publishWithContact(Duration age) {
    publisher.publish(snapshot(true), new TrustEvidence(Optional.of(age), Optional.empty()));
  }

  // A key may have been withdrawn while the process was paused.
  @Test
  void should_not_be_trusted_after_a_pause_even_before_the_control_thread_runs() {
    publishWithContact(Duration.ofSeconds(1));
    now += Duration.ofSeconds(10).toNanos();
    assertThat(publisher.read().trusted()).isFalse();
  }

  @Test
  void should_stay_trusted_while_the_evidence_is_recent_enough() {
    publishWithContact(Duration.ofSeconds(1));
    now += Duration.ofMillis(2_900).toNanos();
    assertThat(publisher.read().trusted()).isTrue();
    now += Duration.ofMillis(200).toNanos();
    assertThat(publisher.read().trusted()).isFalse();
  }

  @Test
  void should_be_trusted_again_with_new_evidence() {
    publishWithContact(Duration.ofSeconds(1));
    now += Duration.ofSeconds(10).toNanos();
    publishWithContact(Duration.ZERO);
    assertThat(publisher.read().trusted()).isTrue();
  }
}
