package org.oleanderstep.core.position;

/** Text form of {@link SessionState} for the header {@code Oleanderstep-Session}. */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class SessionToken {

  /** Longest text that is accepted or produced, in characters. */
  public static final int MAX_LENGTH = 4_096;

  private SessionToken() {}

  /** What became of a text. */
  public sealed interface Decoded {

    /** The text is a token of this version. */
    record Valid(SessionState state) implements Decoded {}

    /** The text is no token that this version understands. */
    record Invalid(Problem problem, String detail) implements Decoded {}
  }

  /** Why a text was not accepted. */
  public enum Problem {
    TOO_LONG,
    UNKNOWN_VERSION,
    MALFORMED
  }

  /** Returns the text form. */
  public static String encode(SessionState state) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Parses a text that may come from anyone. */
  public static Decoded decode(String text) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
