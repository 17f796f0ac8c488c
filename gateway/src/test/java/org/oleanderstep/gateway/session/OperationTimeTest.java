package org.oleanderstep.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.oleanderstep.gateway.session.OperationTime.Part;

class OperationTimeTest {

  // Guards against a part that is lost or counted twice when a statement is retried.
  @Test
  void should_add_up_each_part_over_all_attempts() {
    OperationTime time = new OperationTime(5, 100);
    time.enter(Part.SYNCHRONIZATION, 110);
    time.enter(Part.MEMBER, 113);
    time.enter(Part.CONNECTION, 120);
    time.enter(Part.SYNCHRONIZATION, 150);
    time.enter(Part.MEMBER, 151);
    time.end(160);
    assertThat(time.in(Part.TOKEN)).isEqualTo(Duration.ofNanos(5));
    assertThat(time.in(Part.CONNECTION)).isEqualTo(Duration.ofNanos(40));
    assertThat(time.in(Part.SYNCHRONIZATION)).isEqualTo(Duration.ofNanos(4));
    assertThat(time.in(Part.MEMBER)).isEqualTo(Duration.ofNanos(16));
  }
}
