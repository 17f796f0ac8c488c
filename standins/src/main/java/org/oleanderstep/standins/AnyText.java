package org.oleanderstep.standins;

import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Draws values over the whole range that a caller may send: texts with quotes, line ends, NUL,
 * characters outside of ASCII and parts that read like a message, empty and long ones.
 *
 * <p>Unpaired surrogates are left out, since protobuf can't carry them.
 */
public final class AnyText {

  private static final String[] PIECES = {
    " ",
    "'",
    "''",
    "\"",
    "\\",
    "\\'",
    "\n",
    "\r",
    "\r\n",
    "\t",
    "\0",
    "\u0001",
    "\u007f",
    "\u0085",
    "\u00a0",
    "\u2028",
    "e\u0301",
    "\u202e",
    "\ud83d\ude80",
    "\ufeff",
    "\uffff",
    "-- ",
    "/*",
    "?",
    ";",
    "%00",
    "{",
    "$1",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "COMPLETE 1\r\nREADY\r\n",
    "org.apache.calcite.avatica.proto.Responses$ErrorResponse",
    "plain text"
  };
  private static final int MAX_PIECES = 12;
  private static final int LONG_LENGTH = 9_000;
  private static final double LONG_SHARE = 0.02;

  private AnyText() {}

  /** Draws a text of at most 9,000 characters. */
  public static String draw(RandomGenerator random) {
    if (random.nextDouble() < LONG_SHARE) {
      return "\u00e9".repeat(LONG_LENGTH);
    }
    StringBuilder text = new StringBuilder();
    int pieces = random.nextInt(MAX_PIECES);
    for (int i = 0; i < pieces; i++) {
      text.append(PIECES[random.nextInt(PIECES.length)]);
    }
    return text.toString();
  }

  /** Returns the text that belongs to a name; it is the same each time. */
  public static String of(String name) {
    return draw(new Random(name.hashCode()));
  }

  /** Draws visible ASCII characters, of which a request id may consist. */
  public static String drawVisibleAscii(RandomGenerator random, int length) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < length; i++) {
      text.append((char) random.nextInt('!', 0x7f));
    }
    return text.toString();
  }
}
