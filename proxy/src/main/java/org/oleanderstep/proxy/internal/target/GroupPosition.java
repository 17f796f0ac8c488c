package org.oleanderstep.proxy.internal.target;

import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;

/**
 * Value of the header {@code Group-Position}: {@code incarnation;term:index}.
 *
 * @param incarnation incarnation of the member that answered
 * @param position what the member had applied when it answered
 */
public record GroupPosition(String incarnation, LogPosition position) {

  /** Parses a header; empty if it has another form, so that nothing is concluded from it. */
  static Optional<GroupPosition> parse(String header) {
    int separator = header.lastIndexOf(';');
    if (separator < 1) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new GroupPosition(
              header.substring(0, separator), LogPosition.parse(header.substring(separator + 1))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
