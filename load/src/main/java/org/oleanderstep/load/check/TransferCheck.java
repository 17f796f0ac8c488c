package org.oleanderstep.load.check;

import java.util.ArrayList;
import java.util.List;
import org.oleanderstep.schema.v1.Operation;

/**
 * Checks that transactions are atomic and never mix (H3): transfers keep the sum over all accounts,
 * so any other sum shows half a transaction.
 */
public final class TransferCheck implements HistoryCheck {

  private final long total;

  /**
   * Creates the check.
   *
   * @param total sum over all accounts before the run
   */
  public TransferCheck(long total) {
    this.total = total;
  }

  @Override
  public List<Violation> check(List<Operation> operations, FinalState state) {
    List<Violation> violations = new ArrayList<>();
    for (Operation operation : operations) {
      if (operation.getType() == Operation.Type.READ_SUM
          && operation.getResult() == Operation.Result.SERVED
          && operation.getValue() != total) {
        violations.add(violation("operation " + operation.getId(), operation.getValue()));
      }
    }
    if (state.total() != total) {
      violations.add(violation("sum at the end", state.total()));
    }
    return violations;
  }

  private Violation violation(String subject, long sum) {
    return new Violation("H3", subject, "expected the sum " + total + " but was " + sum);
  }
}
