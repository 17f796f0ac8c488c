package org.oleanderstep.core.membership;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ConfigurationHistoryTest {

  private static final long SECOND = 1_000_000_000L;
  private final ConfigurationHistory history = new ConfigurationHistory();

  @Test
  void should_accept_a_history_within_all_bounds() {
    history.published(SECOND, 2, "k1");
    history.adopted(SECOND, "a", 1);
    history.adopted(2 * SECOND, "a", 2);
    history.recordAcceptedCall(6 * SECOND, "a", "k1");
    history.served("s", 1);
    history.served("s", 2);
    history.connected(4 * SECOND, "a", 2);
    assertThat(history.violation()).isEmpty();
  }

  @Test
  void should_reject_a_process_that_reverts_to_an_older_generation() {
    history.adopted(SECOND, "a", 3);
    history.adopted(SECOND, "b", 2);
    history.adopted(2 * SECOND, "a", 2);
    assertThat(history.violation().orElseThrow()).contains("process went back");
  }

  @Test
  void should_reject_a_session_that_reverts_to_an_older_generation() {
    history.served("s", 3);
    history.served("t", 2);
    history.served("s", 2);
    assertThat(history.violation().orElseThrow()).contains("session went back");
  }

  @Test
  void should_reject_a_withdrawn_key_accepted_after_the_bound() {
    history.published(SECOND, 2, "k1");
    history.recordAcceptedCall(6 * SECOND + 1, "a", "k1");
    assertThat(history.violation().orElseThrow()).contains("withdrawn");
  }

  @Test
  void should_reject_a_generation_that_propagates_too_slowly() {
    history.published(SECOND, 2, "k1");
    history.connected(4 * SECOND, "a", 1);
    assertThat(history.violation().orElseThrow()).contains("had not reached");
  }
}
