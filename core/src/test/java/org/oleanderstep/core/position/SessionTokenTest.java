package org.oleanderstep.core.position;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.NotBlank;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.VmId;

class SessionTokenTest {

  private static final DatabaseId ORDERS = new DatabaseId("carrom-main", "orders");

  private static LogPosition at(long term, long index) {
    return new LogPosition(term, index);
  }

  private static SessionToken.Problem problemOf(String text) {
    return ((SessionToken.Decoded.Invalid) SessionToken.decode(text)).problem();
  }

  @Property(tries = 300, seed = "7")
  void should_decode_what_it_encodes(
      @ForAll @NotBlank @StringLength(max = 40) String name,
      @ForAll @LongRange(min = 0) long number,
      @ForAll boolean primaryOnly) {
    ReadRequirement requirement =
        primaryOnly
            ? new ReadRequirement.PrimaryOnly(at(number, 0))
            : new ReadRequirement.AtLeast(at(1, number));
    // A lone surrogate has no UTF-8 form, so a header cannot carry such a name.
    String sent = new String(name.getBytes(UTF_8), UTF_8);
    SessionState state =
        new SessionState(
            Map.of(
                new DatabaseId(sent, sent),
                requirement,
                ORDERS,
                new ReadRequirement.AtLeast(at(2, 7))),
            number,
            Optional.of(new TransactionToken(new VmId(sent), sent, number)));
    assertThat(SessionToken.decode(SessionToken.encode(state)))
        .isEqualTo(new SessionToken.Decoded.Valid(state));
  }

  // The token comes from the caller and may be malformed or forged.
  @Property(tries = 1000, seed = "7")
  void should_never_throw_for_any_text(@ForAll @StringLength(max = 60) String text) {
    assertThat(SessionToken.decode(text)).isInstanceOf(SessionToken.Decoded.Invalid.class);
    assertThat(SessionToken.decode("1;" + text)).isNotNull();
    assertThat(SessionToken.decode("1;g=1;n=" + text)).isNotNull();
  }

  @Test
  void should_report_why_a_text_is_rejected() {
    assertThat(problemOf("1;g=" + "1".repeat(SessionToken.MAX_LENGTH)))
        .isEqualTo(SessionToken.Problem.TOO_LONG);
    assertThat(problemOf("2;g=1")).isEqualTo(SessionToken.Problem.UNKNOWN_VERSION);
    for (String text :
        new String[] {
          "1",
          "1;",
          "1;g=-1",
          "1;g=1;",
          "1;g=1;g=1",
          "1;g=1;x=1",
          "1;g=1;n=a/b@1",
          "1;g=1;n=a/b@-1:1",
          "1;g=1;n=/b@1:1",
          "1;g=1;n=a/b@1:1;p=a/b@1:1",
          "1;g=1;n=%zz/b@1:1",
          "1;g=1;t=vm/1",
          "1;g=1;t=vm//1",
          "1;n=a/b@1:1"
        }) {
      assertWithMessage(text).that(problemOf(text)).isEqualTo(SessionToken.Problem.MALFORMED);
    }
  }

  @Test
  void should_refuse_to_drop_databases_from_a_token_that_is_too_long() {
    SessionState state = SessionState.EMPTY;
    for (int i = 0; i < 300; i++) {
      state = state.afterAcknowledgedWrite(new DatabaseId("service", "database-" + i), at(1, i));
    }
    SessionState tooLong = state;
    assertThrows(IllegalArgumentException.class, () -> SessionToken.encode(tooLong));
  }

  @Test
  void should_require_the_primary_of_a_session_without_a_token() {
    assertThat(SessionState.EMPTY.requirement(ORDERS)).isEqualTo(new ReadRequirement.PrimaryOnly());
  }

  // Guards H1: a write with an unknown outcome must not lower what the session required before.
  @Test
  void should_keep_the_required_position_after_an_unknown_write() {
    SessionState written = SessionState.EMPTY.afterAcknowledgedWrite(ORDERS, at(4, 9));
    SessionState unknown = written.afterUnknownWrite(ORDERS, 4);
    assertThat(unknown.requirement(ORDERS)).isEqualTo(new ReadRequirement.PrimaryOnly(at(4, 9)));
    assertThat(unknown.afterPrimaryPosition(ORDERS, at(3, 99))).isEqualTo(unknown);
    assertThat(unknown.afterPrimaryPosition(ORDERS, at(4, 12)).requirement(ORDERS))
        .isEqualTo(new ReadRequirement.AtLeast(at(4, 12)));
    assertThat(written.afterUnknownWrite(ORDERS, 5).requirement(ORDERS))
        .isEqualTo(new ReadRequirement.PrimaryOnly(at(5, 0)));
  }

  @Test
  void should_never_lower_a_required_position_or_a_generation() {
    SessionState state = SessionState.EMPTY.withGeneration(8).afterRead(ORDERS, at(4, 9));
    assertThat(state.afterRead(ORDERS, at(4, 2)).withGeneration(3)).isEqualTo(state);
  }
}
