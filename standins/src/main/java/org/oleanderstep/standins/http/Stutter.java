package org.oleanderstep.standins.http;

/**
 * How often a stand-in sends something that nobody asked for after a response to a call with a call
 * id. Each share is between 0 and 1.
 *
 * @param repeated share of responses that are sent again 1 to 46 ms later
 * @param late share of responses that are sent again 2 s later
 * @param leftOver share of responses that are followed by bytes that are no response
 */
public record Stutter(double repeated, double late, double leftOver) {

  /** Nothing is sent twice. */
  public static final Stutter NONE = new Stutter(0, 0, 0);

  /** What members and the process of the platform do unless they are told otherwise. */
  public static final Stutter DEFAULT = new Stutter(0.04, 0.004, 0);

  /** Checks the shares. */
  public Stutter {
    if (!isShare(repeated) || !isShare(late) || !isShare(leftOver)) {
      throw new IllegalArgumentException("a share must be between 0 and 1");
    }
  }

  private static boolean isShare(double value) {
    return value >= 0 && value <= 1;
  }
}
