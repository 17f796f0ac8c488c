package org.oleanderstep.load.check;

import java.util.ArrayList;
import java.util.List;
import org.oleanderstep.schema.v1.Operation;

/**
 * Checks that each caller got the answer to its own request (H8): a reading statement selects a
 * token that no other statement has.
 */
public final class AnswerCheck implements HistoryCheck {

  @Override
  public List<Violation> check(List<Operation> operations, FinalState state) {
    List<Violation> violations = new ArrayList<>();
    for (Operation operation : operations) {
      boolean served = operation.getResult() == Operation.Result.SERVED;
      if (served && !operation.getSentToken().equals(operation.getReceivedToken())) {
        String detail =
            "sent token "
                + operation.getSentToken()
                + " but got the answer to "
                + operation.getReceivedToken();
        violations.add(new Violation("H8", "operation " + operation.getId(), detail));
      }
    }
    return violations;
  }
}
