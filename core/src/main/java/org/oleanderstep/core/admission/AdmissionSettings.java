package org.oleanderstep.core.admission;

import java.time.Duration;

/**
 * Times of admission.
 *
 * @param maxWait time for which a request waits for a token
 * @param replyTimeout age after which the receiver discards the answer to a transfer
 * @param holdTime time for which a giver counts a transfer against its cap if it is not confirmed;
 *     must exceed the reply timeout, or the tokens could exist twice
 * @param pauseLimit time without a tick after which shares must be confirmed again
 */
public record AdmissionSettings(
    Duration maxWait, Duration replyTimeout, Duration holdTime, Duration pauseLimit) {

  /** Settings of the design page. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(
          Duration.ofMillis(50),
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));

  /** Checks that the hold time exceeds the reply timeout. */
  public AdmissionSettings {
    if (maxWait.isNegative() || replyTimeout.isNegative() || pauseLimit.isNegative()) {
      throw new IllegalArgumentException("times of admission must not be negative");
    }
    if (holdTime.compareTo(replyTimeout) <= 0) {
      throw new IllegalArgumentException(
          "holdTime " + holdTime + " must exceed replyTimeout " + replyTimeout);
    }
  }
}
