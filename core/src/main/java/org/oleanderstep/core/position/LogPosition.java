package org.oleanderstep.core.position;

import java.util.Comparator;

/**
 * A position in the replicated log of one database, ordered by term and then by index.
 *
 * <pre>{@code
 * boolean fresh = replica.compareTo(new LogPosition(3, 1_250)) >= 0;
 * }</pre>
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {

  /** The position before the first entry. */
  public static final LogPosition START = new LogPosition(0, 0);

  private static final Comparator<LogPosition> ORDER =
      Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::index);

  /** Checks that neither part is negative. */
  public LogPosition {
    if (term < 0 || index < 0) {
      throw new IllegalArgumentException(
          "term and index must not be negative: " + term + ":" + index);
    }
  }

  /** Parses the form {@code term:index}. */
  public static LogPosition parse(String text) {
    int colon = text.indexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("expected term:index but got \"" + text + "\"");
    }
    return new LogPosition(
        Long.parseLong(text.substring(0, colon)), Long.parseLong(text.substring(colon + 1)));
  }

  /** Returns the later of two positions. */
  public static LogPosition max(LogPosition a, LogPosition b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  @Override
  public int compareTo(LogPosition other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return term + ":" + index;
  }
}
