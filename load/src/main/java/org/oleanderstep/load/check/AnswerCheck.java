package org.oleanderstep.load.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
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
                + visible(operation.getSentToken())
                + " but got the answer to "
                + visible(operation.getReceivedToken());
        violations.add(new Violation("H8", "operation " + operation.getId(), detail));
      }
    }
    return violations;
  }

  /** Returns a text in which every character but visible ASCII is written as its number. */
  private static String visible(String text) {
    StringBuilder visible = new StringBuilder();
    text.chars()
        .forEach(
            c -> {
              if (c > ' ' && c < 0x7f) {
                visible.append((char) c);
              } else {
                visible.append(String.format(Locale.ROOT, "\\u%04x", c));
              }
            });
    return visible.toString();
  }
}
