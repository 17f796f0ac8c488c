package org.oleanderstep.proxy.internal.convert;

import com.google.protobuf.util.Durations;
import java.time.Duration;

/** Converts durations. */
public final class DurationConverter {

  private DurationConverter() {}

  /** Returns the duration of a message. */
  public static Duration toCore(com.google.protobuf.Duration duration) {
    return Duration.ofSeconds(duration.getSeconds(), duration.getNanos());
  }

  /** Returns the message of a duration. */
  public static com.google.protobuf.Duration toProto(Duration duration) {
    return Durations.fromNanos(duration.toNanos());
  }
}
