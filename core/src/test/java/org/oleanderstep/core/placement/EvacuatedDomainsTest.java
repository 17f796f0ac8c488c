package org.oleanderstep.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class EvacuatedDomainsTest {

  private static final EvacuatedDomains EVACUATED = new EvacuatedDomains(Set.of("a", "b"));

  @Test
  void should_close_only_members_of_evacuated_failure_domains() {
    assertThat(EVACUATED.accessTo("a").allowsSending()).isFalse();
    assertThat(EVACUATED.accessTo("a").allowsPrimary()).isFalse();
    assertThat(EVACUATED.accessTo("c").allowsSending()).isTrue();
  }

  // A statement that was sent would have an unknown outcome if its connection were closed.
  @Test
  void should_wait_for_the_reply_to_a_statement() {
    assertThat(MemberAccess.EVACUATED.mustClose(true)).isFalse();
    assertThat(MemberAccess.EVACUATED.mustClose(false)).isTrue();
    assertThat(MemberAccess.OPEN.mustClose(false)).isFalse();
  }

  @Test
  void should_tell_what_has_begun() {
    EvacuatedDomains before = new EvacuatedDomains(Set.of("b", "c"));

    assertThat(EVACUATED.begunSince(before)).containsExactly("a");
    assertThat(before.begunSince(EVACUATED)).containsExactly("c");
  }
}
