package org.oleanderstep.load.report;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.oleanderstep.schema.v1.Operation;

/** How long a database acknowledged no write after its primary was lost (M2). */
final class FailoverGap {

  private FailoverGap() {}

  /**
   * Returns the time from the fault to the end of the first acknowledged write that was sent after
   * the fault, in nanoseconds; empty if there was none.
   *
   * @param operations operations of the database
   */
  static Optional<Long> afterFault(List<Operation> operations, long faultNs) {
    long[] ends =
        operations.stream()
            .filter(FailoverGap::isAcknowledgedWrite)
            .mapToLong(Operation::getEndNs)
            .filter(end -> end > faultNs)
            .sorted()
            .toArray();
    return ends.length == 0 ? Optional.empty() : Optional.of(longestPause(ends, faultNs));
  }

  // Writes that were in flight when the fault began may still be acknowledged by the old primary
  // within milliseconds, so the gap ends with the longest pause and not with the first answer.
  private static long longestPause(long[] ends, long faultNs) {
    long previous = faultNs;
    long longest = 0;
    long gap = 0;
    for (long end : Arrays.stream(ends).filter(e -> e < faultNs + SEARCH_NS).toArray()) {
      if (end - previous > longest) {
        longest = end - previous;
        gap = end - faultNs;
      }
      previous = end;
    }
    return gap == 0 ? ends[0] - faultNs : gap;
  }

  // Pauses later than this have another cause.
  private static final long SEARCH_NS = 15_000_000_000L;

  private static boolean isAcknowledgedWrite(Operation operation) {
    boolean write =
        switch (operation.getType()) {
          case ADD_TO_COUNTER, PLACE_ORDER, TRANSFER -> true;
          default -> false;
        };
    return write && operation.getResult() == Operation.Result.SERVED;
  }
}
