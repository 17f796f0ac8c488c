package org.oleanderstep.core.position;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.VmId;

/**
 * Converts a {@link SessionState} to and from the text of the header {@code Oleanderstep-Session}.
 *
 * <pre>{@code
 * 1;g=17;n=carrom-main/orders@3:1250;p=carrom-main/stock@3:0;t=vm-2/f81d4fae/9
 * }</pre>
 *
 * <p>The version comes first, then the generation {@code g}, one requirement for each database
 * ({@code n} for a position, {@code p} for the primary) and the open transaction {@code t}. Names
 * are URL-encoded.
 */
public final class SessionToken {

  /** Maximum length of a token that is accepted or produced, in characters. */
  public static final int MAX_LENGTH = 4_096;

  private static final String VERSION = "1";
  private static final char FIELD_SEPARATOR = ';';

  private SessionToken() {}

  /** The result of decoding a text. */
  public sealed interface Decoded {

    /** The text is a token of this version. */
    record Valid(SessionState state) implements Decoded {}

    /** The text is not a token that this version understands. */
    record Invalid(Problem problem, String detail) implements Decoded {}
  }

  /** Why a text was rejected. */
  public enum Problem {
    TOO_LONG,
    UNKNOWN_VERSION,
    MALFORMED
  }

  /**
   * Returns the text form.
   *
   * @throws IllegalArgumentException if it would exceed {@link #MAX_LENGTH}; dropping a database
   *     instead could let the session read data older than its own writes
   */
  public static String encode(SessionState state) {
    StringBuilder text = new StringBuilder(VERSION);
    text.append(FIELD_SEPARATOR).append("g=").append(state.generation());
    state.requirements().entrySet().stream()
        .sorted(Map.Entry.comparingByKey(Comparator.comparing(DatabaseId::toString)))
        .forEach(entry -> appendRequirement(text, entry.getKey(), entry.getValue()));
    state.transaction().ifPresent(transaction -> appendTransaction(text, transaction));
    if (text.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "session token would have " + text.length() + " characters, the limit is " + MAX_LENGTH);
    }
    return text.toString();
  }

  private static void appendRequirement(
      StringBuilder text, DatabaseId database, ReadRequirement requirement) {
    text.append(FIELD_SEPARATOR)
        .append(requirement instanceof ReadRequirement.PrimaryOnly ? "p=" : "n=")
        .append(escape(database.service()))
        .append('/')
        .append(escape(database.database()))
        .append('@')
        .append(requirement.position());
  }

  private static void appendTransaction(StringBuilder text, TransactionToken transaction) {
    text.append(FIELD_SEPARATOR)
        .append("t=")
        .append(escape(transaction.vm().name()))
        .append('/')
        .append(escape(transaction.instance()))
        .append('/')
        .append(transaction.number());
  }

  /** Decodes a text from an untrusted source; never throws for a malformed one. */
  public static Decoded decode(String text) {
    if (text.length() > MAX_LENGTH) {
      return new Decoded.Invalid(Problem.TOO_LONG, text.length() + " characters");
    }
    int end = text.indexOf(FIELD_SEPARATOR);
    String version = end < 0 ? text : text.substring(0, end);
    if (!version.equals(VERSION)) {
      return new Decoded.Invalid(Problem.UNKNOWN_VERSION, "expected version " + VERSION);
    }
    if (end < 0) {
      return new Decoded.Invalid(Problem.MALFORMED, "the generation is missing");
    }
    try {
      return new Decoded.Valid(parseFields(text, end + 1));
    } catch (IllegalArgumentException e) {
      return new Decoded.Invalid(Problem.MALFORMED, String.valueOf(e.getMessage()));
    }
  }

  private static SessionState parseFields(String text, int start) {
    Map<DatabaseId, ReadRequirement> requirements = new HashMap<>();
    long generation = -1;
    Optional<TransactionToken> transaction = Optional.empty();
    int from = start;
    while (from <= text.length()) {
      int separator = text.indexOf(FIELD_SEPARATOR, from);
      int to = separator < 0 ? text.length() : separator;
      String field = text.substring(from, to);
      String value = field.length() < 2 ? "" : field.substring(2);
      if (field.startsWith("g=") && generation < 0) {
        generation = Long.parseLong(value);
      } else if (field.startsWith("n=")) {
        parseRequirement(value, false, requirements);
      } else if (field.startsWith("p=")) {
        parseRequirement(value, true, requirements);
      } else if (field.startsWith("t=") && transaction.isEmpty()) {
        transaction = Optional.of(parseTransaction(value));
      } else {
        throw new IllegalArgumentException("a field is unknown or repeated");
      }
      from = to + 1;
    }
    return new SessionState(requirements, generation, transaction);
  }

  private static void parseRequirement(
      String value, boolean primaryOnly, Map<DatabaseId, ReadRequirement> requirements) {
    int slash = value.indexOf('/');
    int at = value.indexOf('@');
    if (slash < 0 || at < slash) {
      throw new IllegalArgumentException("expected service/database@term:index");
    }
    DatabaseId database =
        new DatabaseId(
            unescape(value.substring(0, slash)), unescape(value.substring(slash + 1, at)));
    LogPosition position = LogPosition.parse(value.substring(at + 1));
    ReadRequirement requirement =
        primaryOnly
            ? new ReadRequirement.PrimaryOnly(position)
            : new ReadRequirement.AtLeast(position);
    if (requirements.put(database, requirement) != null) {
      throw new IllegalArgumentException("a database is repeated");
    }
  }

  private static TransactionToken parseTransaction(String value) {
    int first = value.indexOf('/');
    int last = value.lastIndexOf('/');
    if (first < 0 || first == last) {
      throw new IllegalArgumentException("expected vm/instance/number");
    }
    return new TransactionToken(
        new VmId(unescape(value.substring(0, first))),
        unescape(value.substring(first + 1, last)),
        Long.parseLong(value.substring(last + 1)));
  }

  private static String escape(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  private static String unescape(String name) {
    return URLDecoder.decode(name, StandardCharsets.UTF_8);
  }
}
