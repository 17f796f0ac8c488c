package org.oleanderstep.standins.platform;

import com.google.protobuf.util.Durations;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleanderstep.schema.v1.PlatformFaults;

/** Faults that the stand-in shows at the moment. */
final class Faults {

  private volatile PlatformFaults present = PlatformFaults.getDefaultInstance();
  private final AtomicInteger answersToLose = new AtomicInteger();

  void replace(PlatformFaults faults) {
    present = faults;
    answersToLose.set(faults.getLoseAnswers());
  }

  PlatformFaults snapshot() {
    return present.toBuilder().setLoseAnswers(answersToLose.get()).build();
  }

  long delayMillis() {
    return Durations.toMillis(present.getDelay());
  }

  boolean dropsRequestOf(String vm) {
    return present.getUnavailable() || present.getUnavailableToList().contains(vm);
  }

  /** Returns whether the answer to the present update is to be lost, and counts it. */
  boolean takeLostAnswer() {
    return answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
