package org.oleanderstep.core.routing;

import java.util.Locale;
import java.util.Set;

/**
 * Tells reads from writes by the first keyword of a statement.
 *
 * <pre>{@code
 * StatementClassifier.classify("select 1"); // READ
 * }</pre>
 *
 * <p>This is no parser: words within literals and comments count too. A read that is taken for a
 * write only loses the choice of a replica. A write must not be taken for a read, because reads are
 * repeated after a lost connection.
 */
public final class StatementClassifier {

  private static final Set<String> READS = Set.of("SELECT", "VALUES", "SHOW", "EXPLAIN");
  private static final Set<String> ROW_CHANGES =
      Set.of("INSERT", "UPDATE", "DELETE", "MERGE", "REPLACE", "WITH");
  private static final Set<String> LOCK_MODES = Set.of("UPDATE", "SHARE");

  private final String sql;
  private int next;
  private boolean ambiguous;

  private StatementClassifier(String sql) {
    this.sql = sql;
  }

  /** Returns the kind of the statement; in doubt {@link StatementKind#OTHER}. */
  public static StatementKind classify(String sql) {
    return new StatementClassifier(sql).classify();
  }

  private StatementKind classify() {
    skipBlanksAndComments("(");
    String keyword = word();
    int bodyStart = next;
    if (ambiguous || hasSecondStatement(bodyStart)) {
      return StatementKind.OTHER;
    }
    if (READS.contains(keyword)) {
      return classifyRead(keyword, bodyStart);
    }
    return ROW_CHANGES.contains(keyword) ? StatementKind.ROW_CHANGE : StatementKind.OTHER;
  }

  private StatementKind classifyRead(String keyword, int bodyStart) {
    boolean explains = keyword.equals("EXPLAIN");
    boolean afterFor = false;
    next = bodyStart;
    while (next < sql.length()) {
      String word = word();
      if (word.isEmpty()) {
        next++;
      } else if (word.equals("INTO") || (explains && word.equals("ANALYZE"))) {
        return StatementKind.OTHER;
      } else if (afterFor && LOCK_MODES.contains(word)) {
        return StatementKind.ROW_CHANGE;
      } else {
        afterFor |= word.equals("FOR");
      }
    }
    return StatementKind.READ;
  }

  private boolean hasSecondStatement(int bodyStart) {
    next = sql.indexOf(';', bodyStart);
    if (next < 0) {
      return false;
    }
    skipBlanksAndComments(";");
    return ambiguous || next < sql.length();
  }

  private String word() {
    int start = next;
    while (next < sql.length() && Character.isJavaIdentifierPart(sql.charAt(next))) {
      next++;
    }
    return sql.substring(start, next).toUpperCase(Locale.ROOT);
  }

  private void skipBlanksAndComments(String alsoSkipped) {
    while (next < sql.length()) {
      char c = sql.charAt(next);
      if (Character.isWhitespace(c) || alsoSkipped.indexOf(c) >= 0) {
        next++;
      } else if (sql.startsWith("--", next)) {
        skipComment("\n", "\r");
      } else if (sql.startsWith("/*", next)) {
        skipComment("*/", "/*");
      } else {
        return;
      }
    }
  }

  /**
   * Skips a comment.
   *
   * @param suspect text on which databases differ whether the comment ends later or earlier, such
   *     as a nested comment
   */
  private void skipComment(String end, String suspect) {
    int bodyStart = next + 2;
    int found = sql.indexOf(end, bodyStart);
    int bodyEnd = found < 0 ? sql.length() : found;
    String body = sql.substring(bodyStart, bodyEnd);
    boolean windowsLineEnd = body.indexOf('\r') == body.length() - 1;
    ambiguous |= body.contains(suspect) && !(suspect.equals("\r") && windowsLineEnd);
    // MySQL executes the text of /*! comments.
    ambiguous |= body.startsWith("!");
    next = found < 0 ? sql.length() : found + end.length();
  }
}
