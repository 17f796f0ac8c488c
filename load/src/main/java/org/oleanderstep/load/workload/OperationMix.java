package org.oleanderstep.load.workload;

import java.util.random.RandomGenerator;
import org.oleanderstep.schema.v1.Operation;
import org.oleanderstep.schema.v1.Scenario;

/**
 * Shares of the kinds of operations; what remains are reads of the session's counter, of which one
 * in ten reads the sum over all accounts instead.
 */
record OperationMix(double counterShare, double orderShare, double transferShare) {

  private static final double SUM_SHARE_OF_READS = 0.1;

  OperationMix {
    double writes = counterShare + orderShare + transferShare;
    if (counterShare < 0 || orderShare < 0 || transferShare < 0 || writes > 1) {
      throw new IllegalArgumentException("shares must be between 0 and 1, and so must their sum");
    }
  }

  static OperationMix of(Scenario scenario) {
    return new OperationMix(
        scenario.getCounterShare(), scenario.getOrderShare(), scenario.getTransferShare());
  }

  Operation.Type next(RandomGenerator random) {
    double drawn = random.nextDouble();
    if (drawn < counterShare) {
      return Operation.Type.ADD_TO_COUNTER;
    }
    if (drawn < counterShare + orderShare) {
      return Operation.Type.PLACE_ORDER;
    }
    if (drawn < counterShare + orderShare + transferShare) {
      return Operation.Type.TRANSFER;
    }
    boolean sum = random.nextDouble() < SUM_SHARE_OF_READS;
    return sum ? Operation.Type.READ_SUM : Operation.Type.READ_COUNTER;
  }
}
