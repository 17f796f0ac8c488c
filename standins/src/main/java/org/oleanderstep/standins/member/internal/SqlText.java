package org.oleanderstep.standins.member.internal;

import java.sql.SQLException;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/** The text of one SQL statement and what kind of statement it is. */
record SqlText(String sql, Kind kind) {

  /** What a statement does. */
  enum Kind {
    READ,
    CHANGE,
    DEFINITION,
    COMMIT,
    ROLLBACK;

    boolean writes() {
      return this == CHANGE || this == DEFINITION;
    }
  }

  private static final Set<String> READS =
      Set.of("SELECT", "VALUES", "SHOW", "EXPLAIN", "TABLE", "WITH");
  private static final Set<String> CHANGES = Set.of("INSERT", "UPDATE", "DELETE", "MERGE");
  private static final Set<String> DEFINITIONS = Set.of("CREATE", "ALTER", "DROP");

  /** Definitions whose effect can be repeated on replicas from the statement alone. */
  private static final Pattern SUPPORTED_DEFINITION =
      Pattern.compile(
          "(CREATE\\s+((CACHED|MEMORY)\\s+)?TABLE|CREATE\\s+(UNIQUE\\s+)?INDEX|CREATE\\s+SCHEMA"
              + "|ALTER\\s+TABLE|DROP\\s+TABLE|DROP\\s+INDEX|DROP\\s+SCHEMA)\\b.*",
          Pattern.DOTALL);

  /** A rename would leave the row trigger with the old name of its table. */
  private static final Pattern RENAME = Pattern.compile("\\bRENAME\\b");

  private static final Pattern LOCKING_READ = Pattern.compile("\\bFOR\\s+UPDATE\\b");

  /**
   * Classifies a statement by its words, without its comments and literals.
   *
   * @throws SQLException with SQLSTATE 0A000 if the member doesn't support the statement
   */
  static SqlText parse(String sql) throws SQLException {
    String words = withoutCommentsAndLiterals(sql).strip().toUpperCase(Locale.ROOT);
    while (words.endsWith(";")) {
      words = words.substring(0, words.length() - 1).stripTrailing();
    }
    if (words.indexOf(';') >= 0) {
      throw SqlStates.notSupported("several statements in one text");
    }
    while (words.startsWith("(")) {
      words = words.substring(1).stripLeading();
    }
    return new SqlText(sql, kindOf(words));
  }

  private static Kind kindOf(String words) throws SQLException {
    int end = 0;
    while (end < words.length() && Character.isLetter(words.charAt(end))) {
      end++;
    }
    String first = words.substring(0, end);
    if (READS.contains(first)) {
      return LOCKING_READ.matcher(words).find() ? Kind.CHANGE : Kind.READ;
    }
    if (CHANGES.contains(first)) {
      return Kind.CHANGE;
    }
    if (DEFINITIONS.contains(first)
        && SUPPORTED_DEFINITION.matcher(words).matches()
        && !RENAME.matcher(words).find()) {
      return Kind.DEFINITION;
    }
    if (words.equals("COMMIT")) {
      return Kind.COMMIT;
    }
    if (words.equals("ROLLBACK")) {
      return Kind.ROLLBACK;
    }
    throw SqlStates.notSupported("the statement " + first);
  }

  /** Replaces comments, strings and quoted names by blanks. */
  private static String withoutCommentsAndLiterals(String sql) {
    StringBuilder words = new StringBuilder(sql.length());
    int i = 0;
    while (i < sql.length()) {
      int end = endOfSkipped(sql, i);
      if (end > i) {
        words.append(' ');
        i = end;
      } else {
        words.append(sql.charAt(i));
        i++;
      }
    }
    return words.toString();
  }

  /** Returns the end of the comment or literal that starts at an offset, or the offset itself. */
  private static int endOfSkipped(String sql, int start) {
    char c = sql.charAt(start);
    if (c == '\'' || c == '"') {
      return after(sql, String.valueOf(c), start + 1);
    }
    if (sql.startsWith("--", start) || sql.startsWith("//", start)) {
      return after(sql, "\n", start);
    }
    if (sql.startsWith("/*", start)) {
      return after(sql, "*/", start + 2);
    }
    if (sql.startsWith("$$", start)) {
      return after(sql, "$$", start + 2);
    }
    return start;
  }

  private static int after(String sql, String mark, int from) {
    int found = sql.indexOf(mark, from);
    return found < 0 ? sql.length() : found + mark.length();
  }
}
