package org.oleanderstep.core.admission;

import java.time.Duration;

/**
 * Time limits of admission control.
 *
 * @param maxWait how long a request waits for a token
 * @param replyTimeout age after which the receiver discards the reply to a transfer request
 * @param holdTime how long a donor counts an unconfirmed transfer against its cap; must exceed the
 *     reply timeout, otherwise the tokens could exist twice
 * @param pauseLimit time without a tick after which the share table must be confirmed again
 */
public record AdmissionSettings(
    Duration maxWait, Duration replyTimeout, Duration holdTime, Duration pauseLimit) {

  /** The values given in the design document. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(
          Duration.ofMillis(50),
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));

  /** Checks that no time is negative and that the hold time exceeds the reply timeout. */
  public AdmissionSettings {
    if (maxWait.isNegative() || replyTimeout.isNegative() || pauseLimit.isNegative()) {
      throw new IllegalArgumentException(
          "maxWait, replyTimeout and pauseLimit must not be negative");
    }
    if (holdTime.compareTo(replyTimeout) <= 0) {
      throw new IllegalArgumentException(
          "holdTime " + holdTime + " must exceed replyTimeout " + replyTimeout);
    }
  }
}
