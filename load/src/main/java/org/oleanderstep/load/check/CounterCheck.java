package org.oleanderstep.load.check;

import static java.util.stream.Collectors.groupingBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oleanderstep.schema.v1.Operation;

/**
 * Checks that a session reads its own writes (H1).
 *
 * <p>Each session adds one to a counter that only it writes, one operation at a time. A value read
 * must be at least the number of acknowledged additions so far, and at most that number plus the
 * additions of unknown outcome.
 */
public final class CounterCheck implements HistoryCheck {

  @Override
  public List<Violation> check(List<Operation> operations, FinalState state) {
    List<Violation> violations = new ArrayList<>();
    operations.stream()
        .filter(operation -> isCounter(operation.getType()))
        .collect(groupingBy(Operation::getSubject))
        .forEach((counter, own) -> violations.addAll(checkCounter(counter, own, state)));
    return violations;
  }

  private static boolean isCounter(Operation.Type type) {
    return type == Operation.Type.READ_COUNTER || type == Operation.Type.ADD_TO_COUNTER;
  }

  private static List<Violation> checkCounter(
      String counter, List<Operation> operations, FinalState state) {
    List<Operation> ordered = new ArrayList<>(operations);
    ordered.sort(Comparator.comparingLong(Operation::getStartNs));
    Bounds bounds = new Bounds();
    List<Violation> violations = new ArrayList<>();
    for (Operation operation : ordered) {
      if (operation.getType() == Operation.Type.ADD_TO_COUNTER) {
        bounds.add(operation);
      } else if (operation.getResult() == Operation.Result.SERVED) {
        bounds.check("H1", counter, operation.getValue(), violations);
      }
    }
    // A missing acknowledged addition was acknowledged by an old primary; one too many ran twice or
    // ran although it was refused.
    long last = state.counters().getOrDefault(counter, 0L);
    bounds.check("H2/H9/H10", counter + " at the end", last, violations);
    return violations;
  }

  /** Values that a counter may have. */
  private static final class Bounds {

    private long acknowledged;
    private long unknown;

    void add(Operation operation) {
      switch (operation.getResult()) {
        case SERVED -> acknowledged++;
        case UNKNOWN -> unknown++;
        default -> {}
      }
    }

    void check(String invariant, String subject, long value, List<Violation> violations) {
      if (value < acknowledged || value > acknowledged + unknown) {
        String expected = acknowledged + " to " + (acknowledged + unknown);
        violations.add(
            new Violation(invariant, subject, "expected " + expected + " but was " + value));
      }
    }
  }
}
