package org.oleanderstep.load.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Checks that an organisation stays within its rate and burst over all VMs (H7).
 *
 * <p>Callers see only when a statement started and ended. Statements that started and ended within
 * a window were admitted within it, so their number must not exceed {@code rate * window + burst}.
 * The check covers every window that starts with one statement and ends with another.
 */
public final class RateCheck {

  // Sums of doubles over a long run are exact to far less than this part of a statement.
  private static final double ROUNDING = 1e-3;

  private final double ratePerNano;
  private final double burst;

  /**
   * Creates the check of one organisation.
   *
   * @param ratePerSecond statements per second over all VMs
   * @param burst statements above the rate
   */
  public RateCheck(double ratePerSecond, double burst) {
    this.ratePerNano = ratePerSecond / 1e9;
    this.burst = burst;
  }

  /** Returns the first window that holds too many statements, if any. */
  public Optional<Violation> check(String organisation, List<Statement> statements) {
    List<Statement> byEnd = new ArrayList<>(statements);
    byEnd.sort(Comparator.comparingLong(Statement::endNs));
    long[] starts = statements.stream().mapToLong(Statement::startNs).sorted().distinct().toArray();
    if (starts.length == 0) {
      return Optional.empty();
    }
    // For each start of a window: the statements that lie within it, less what the time before the
    // start allows. The largest such value belongs to the window that is closest to its limit.
    WindowMaximum windows = new WindowMaximum(starts, ratePerNano);
    for (Statement statement : byEnd) {
      windows.add(statement.startNs(), statement.count());
      double excess = windows.maximum(statement.endNs()) - ratePerNano * statement.endNs() - burst;
      if (excess > ROUNDING) {
        return Optional.of(violation(organisation, statement.endNs(), excess));
      }
    }
    return Optional.empty();
  }

  private static Violation violation(String organisation, long endNs, double excess) {
    String detail =
        String.format(
            "a window ending at %.3f s holds %.2f statements more than rate and burst allow",
            endNs / 1e9, excess);
    return new Violation("H7", organisation, detail);
  }

  /**
   * Statements that were admitted as one.
   *
   * @param count statements that were taken from the organisation's rate
   */
  public record Statement(long startNs, long endNs, int count) {}
}
