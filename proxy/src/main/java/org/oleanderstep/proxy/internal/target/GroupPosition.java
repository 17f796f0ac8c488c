package org.oleanderstep.proxy.internal.target;

import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;

/**
 * Value of the header {@code Group-Position}: {@code incarnation;term:index}.
 *
 * @param incarnation incarnation of the member that responded
 * @param position position that the member had applied when it responded
 */
public record GroupPosition(String incarnation, LogPosition position) {

  /** Parses a header value. A malformed value gives an empty result, so that it is ignored. */
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
