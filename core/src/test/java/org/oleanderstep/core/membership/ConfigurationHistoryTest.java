package org.oleanderstep.core.membership;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ConfigurationHistoryTest {

  private static final long SECOND = 1_000_000_000L;
  private final ConfigurationHistory history = new ConfigurationHistory();

  @Test
  void should_accept_a_history_within_all_bounds() {
    history.recordPublication(SECOND, 2, "k1");
    history.recordAdoption(SECOND, "a", 1);
    history.recordAdoption(2 * SECOND, "a", 2);
    history.recordAcceptedCall(6 * SECOND, "a", "k1");
    history.recordServedCall("s", 1);
    history.recordServedCall("s", 2);
    history.recordConnectedObservation(4 * SECOND, "a", 2);
    assertThat(history.firstViolation()).isEmpty();
  }

  @Test
  void should_reject_a_process_that_reverts_to_an_older_generation() {
    history.recordAdoption(SECOND, "a", 3);
    history.recordAdoption(SECOND, "b", 2);
    history.recordAdoption(2 * SECOND, "a", 2);
    assertThat(history.firstViolation().orElseThrow()).contains("process went back");
  }

  @Test
  void should_reject_a_session_that_reverts_to_an_older_generation() {
    history.recordServedCall("s", 3);
    history.recordServedCall("t", 2);
    history.recordServedCall("s", 2);
    assertThat(history.firstViolation().orElseThrow()).contains("session went back");
  }

  @Test
  void should_reject_a_withdrawn_key_accepted_after_the_bound() {
    history.recordPublication(SECOND, 2, "k1");
    history.recordAcceptedCall(6 * SECOND + 1, "a", "k1");
    assertThat(history.firstViolation().orElseThrow()).contains("withdrawn");
  }

  @Test
  void should_reject_a_generation_that_propagates_too_slowly() {
    history.recordPublication(SECOND, 2, "k1");
    history.recordConnectedObservation(4 * SECOND, "a", 1);
    assertThat(history.firstViolation().orElseThrow()).contains("had not reached");
  }
}
