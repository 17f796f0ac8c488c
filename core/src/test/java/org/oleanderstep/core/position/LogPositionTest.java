package org.oleanderstep.core.position;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class LogPositionTest {

  // If a higher index of an older term ranked as newer, a session could read stale data.
  @Test
  void should_order_by_term_before_index() {
    assertThat(new LogPosition(2, 1)).isGreaterThan(new LogPosition(1, 900));
  }

  @Test
  void should_reject_text_without_a_colon() {
    assertThrows(IllegalArgumentException.class, () -> LogPosition.parse("17"));
  }

  @Property
  void should_parse_what_it_prints(
      @ForAll @LongRange(min = 0) long term, @ForAll @LongRange(min = 0) long index) {
    LogPosition position = new LogPosition(term, index);
    assertThat(LogPosition.parse(position.toString())).isEqualTo(position);
  }
}
