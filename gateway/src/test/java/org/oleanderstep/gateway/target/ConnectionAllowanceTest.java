package org.oleanderstep.gateway.target;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Connections of a member are shared by VMs that don't see each other's. */
final class ConnectionAllowanceTest {

  private static final long START = Duration.ofHours(1).toNanos();
  private static final long STEADY = START + ConnectionAllowance.SCARCITY_PERIOD.toNanos();

  @Test
  void should_allow_connections_up_to_the_part_of_this_vm() {
    ConnectionAllowance allowance = new ConnectionAllowance(3, START);
    assertThat(allowance.allowsAnother(2)).isTrue();
    assertThat(allowance.allowsAnother(3)).isFalse();
    assertThat(allowance.isExceededBy(3)).isFalse();
    assertThat(allowance.isExceededBy(4)).isTrue();
  }

  // With one connection, a pausing transaction held up all other statements of its VM.
  @Test
  void should_allow_a_few_spare_connections_where_the_part_is_small() {
    ConnectionAllowance allowance = new ConnectionAllowance(1, START);
    assertThat(allowance.allowsSpare(2, STEADY)).isTrue();
    assertThat(allowance.allowsSpare(3, STEADY)).isFalse();
  }

  @Test
  void should_allow_no_spare_connection_where_the_part_is_large() {
    assertThat(new ConnectionAllowance(3, START).allowsSpare(3, STEADY)).isFalse();
  }

  // All VMs that lost power would open spare connections while the member still counts the old
  // ones.
  @Test
  void should_allow_no_spare_connection_after_a_start() {
    ConnectionAllowance allowance = new ConnectionAllowance(1, START);
    assertThat(allowance.isScarce(STEADY - 1)).isTrue();
    assertThat(allowance.allowsSpare(1, STEADY - 1)).isFalse();
    assertThat(allowance.isScarce(STEADY)).isFalse();
  }

  @Test
  void should_leave_connections_to_others_after_a_refusal_whatever_the_part_is() {
    ConnectionAllowance allowance = new ConnectionAllowance(8, START);
    assertThat(allowance.isScarce(STEADY)).isFalse();
    allowance.onRefused(STEADY);
    assertThat(allowance.isScarce(STEADY)).isTrue();
    assertThat(allowance.isScarce(STEADY + ConnectionAllowance.SCARCITY_PERIOD.toNanos()))
        .isFalse();
  }
}
