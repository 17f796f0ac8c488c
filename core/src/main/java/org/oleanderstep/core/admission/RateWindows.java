package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Counts the operations of each organisation on one VM by second, and decides which counts to
 * report: those of organisations that had an operation refused, so that nothing is reported in
 * calm.
 *
 * <pre>{@code
 * windows.recordRequested(organisation, now);
 * windows.endSecond(now).forEach(this::log);
 * }</pre>
 *
 * <p>Not thread-safe; use it from a single thread. Times are wall-clock milliseconds since the Unix
 * epoch. If the clock is set back, counts go on in the current second.
 */
public final class RateWindows {

  private static final long MILLIS_PER_SECOND = 1_000;

  private static final class Counts {
    private int requested;
    private int admitted;
    private int refused;
  }

  private final Map<OrganisationId, Counts> counts = new HashMap<>();
  private long second;

  /** Creates windows without counts. */
  public RateWindows(long nowMillis) {
    second = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
  }

  /** Counts an operation that has arrived. */
  public void recordRequested(OrganisationId organisation) {
    countsOf(organisation).requested++;
  }

  /** Counts an operation that has got a token. */
  public void recordAdmitted(OrganisationId organisation) {
    countsOf(organisation).admitted++;
  }

  /** Counts an operation that was refused because no token could be there in time. */
  public void recordRefused(OrganisationId organisation) {
    countsOf(organisation).refused++;
  }

  private Counts countsOf(OrganisationId organisation) {
    return counts.computeIfAbsent(organisation, o -> new Counts());
  }

  /**
   * Ends the current second if it is over. Call it at least a few times a second.
   *
   * @return the counts of the organisations that had a refusal in the second that has ended; empty
   *     if none has ended
   */
  public List<RateWindow> endSecond(long nowMillis) {
    long current = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
    if (current <= second) {
      return List.of();
    }
    List<RateWindow> reported = new ArrayList<>();
    counts.forEach(
        (organisation, each) -> {
          if (each.refused > 0) {
            reported.add(
                new RateWindow(organisation, second, each.requested, each.admitted, each.refused));
          }
        });
    counts.clear();
    second = current;
    return reported;
  }
}
