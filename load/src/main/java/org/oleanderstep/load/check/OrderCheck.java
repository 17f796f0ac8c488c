package org.oleanderstep.load.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderstep.schema.v1.Operation;
import org.oleanderstep.standins.AnyText;

/**
 * Checks that an acknowledged order is stored once, that an order which was refused as not run is
 * not stored, that no order is stored twice, and that each is stored as it was sent.
 *
 * <p>A missing acknowledged order means that an old primary acknowledged it (H2); a stored refused
 * one means that the refusal was false (H9); two rows mean that it ran twice (H10); another note
 * means that the statement was changed on its way (H8).
 */
public final class OrderCheck implements HistoryCheck {

  @Override
  public List<Violation> check(List<Operation> operations, FinalState state) {
    Map<String, Attempts> orders = new HashMap<>();
    for (Operation operation : operations) {
      if (operation.getType() == Operation.Type.PLACE_ORDER) {
        orders.computeIfAbsent(operation.getSubject(), id -> new Attempts()).add(operation);
      }
    }
    List<Violation> violations = new ArrayList<>();
    orders.forEach((id, attempts) -> attempts.check(id, state, violations));
    for (String id : state.orders().keySet()) {
      if (!orders.containsKey(id)) {
        violations.add(new Violation("H10", id, "is stored but was never sent"));
      }
    }
    return violations;
  }

  /** Returns the text that the order with an id is sent with. */
  public static String noteOf(String id) {
    return AnyText.of(id);
  }

  /** What callers were told about all attempts of one order. */
  private static final class Attempts {

    private boolean served;
    private boolean unknown;

    void add(Operation operation) {
      switch (operation.getResult()) {
        case SERVED -> served = true;
        case UNKNOWN -> unknown = true;
        default -> {}
      }
    }

    void check(String id, FinalState state, List<Violation> violations) {
      int rows = state.orders().getOrDefault(id, 0);
      if (rows > 1) {
        violations.add(new Violation("H10", id, "is stored " + rows + " times"));
      }
      if (rows > 0 && !noteOf(id).equals(state.notes().get(id))) {
        violations.add(new Violation("H8", id, "is stored with a note that was not sent"));
      }
      if (served && rows == 0) {
        violations.add(new Violation("H2", id, "was acknowledged but is not stored"));
      }
      if (!served && !unknown && rows > 0) {
        violations.add(new Violation("H9", id, "is stored although every answer said not run"));
      }
    }
  }
}
