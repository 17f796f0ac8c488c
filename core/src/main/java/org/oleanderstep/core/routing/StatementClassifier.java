package org.oleanderstep.core.routing;

import java.util.Locale;
import java.util.Set;

/**
 * Classifies a statement as a read or a write by its keywords.
 *
 * <pre>{@code
 * StatementClassifier.classify("select 1"); // READ
 * }</pre>
 *
 * <p>This is not a parser: words in literals and comments count as keywords. A read that is
 * classified as a write is only excluded from replicas. A write must never be classified as a read,
 * because reads are retried after a lost connection.
 */
public final class StatementClassifier {

  private static final Set<String> READ_KEYWORDS = Set.of("SELECT", "VALUES", "SHOW", "EXPLAIN");
  private static final Set<String> ROW_CHANGE_KEYWORDS =
      Set.of("INSERT", "UPDATE", "DELETE", "MERGE", "REPLACE", "WITH");
  private static final Set<String> LOCK_MODES = Set.of("UPDATE", "SHARE");

  private final String sql;
  private int offset;
  private boolean ambiguous;

  private StatementClassifier(String sql) {
    this.sql = sql;
  }

  /** Returns the kind of the statement, or {@link StatementKind#OTHER} if it is ambiguous. */
  public static StatementKind classify(String sql) {
    return new StatementClassifier(sql).classify();
  }

  private StatementKind classify() {
    skipWhitespaceAndComments("(");
    String keyword = nextWord();
    int bodyStart = offset;
    if (ambiguous || hasSecondStatement(bodyStart)) {
      return StatementKind.OTHER;
    }
    if (READ_KEYWORDS.contains(keyword)) {
      return classifyRead(keyword, bodyStart);
    }
    return ROW_CHANGE_KEYWORDS.contains(keyword) ? StatementKind.ROW_CHANGE : StatementKind.OTHER;
  }

  private StatementKind classifyRead(String keyword, int bodyStart) {
    boolean isExplain = keyword.equals("EXPLAIN");
    boolean afterFor = false;
    offset = bodyStart;
    while (offset < sql.length()) {
      String word = nextWord();
      if (word.isEmpty()) {
        offset++;
      } else if (word.equals("INTO") || (isExplain && word.equals("ANALYZE"))) {
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
    offset = sql.indexOf(';', bodyStart);
    if (offset < 0) {
      return false;
    }
    skipWhitespaceAndComments(";");
    return ambiguous || offset < sql.length();
  }

  private String nextWord() {
    int start = offset;
    while (offset < sql.length() && Character.isJavaIdentifierPart(sql.charAt(offset))) {
      offset++;
    }
    return sql.substring(start, offset).toUpperCase(Locale.ROOT);
  }

  private void skipWhitespaceAndComments(String alsoSkipped) {
    while (offset < sql.length()) {
      char c = sql.charAt(offset);
      if (Character.isWhitespace(c) || alsoSkipped.indexOf(c) >= 0) {
        offset++;
      } else if (sql.startsWith("--", offset)) {
        skipComment("\n", "\r");
      } else if (sql.startsWith("/*", offset)) {
        skipComment("*/", "/*");
      } else {
        return;
      }
    }
  }

  /**
   * Skips a comment.
   *
   * @param ambiguousText text within the comment, such as the start of a nested comment, that makes
   *     databases disagree on where the comment ends
   */
  private void skipComment(String end, String ambiguousText) {
    int bodyStart = offset + 2;
    int found = sql.indexOf(end, bodyStart);
    int bodyEnd = found < 0 ? sql.length() : found;
    String body = sql.substring(bodyStart, bodyEnd);
    boolean windowsLineEnd = body.indexOf('\r') == body.length() - 1;
    ambiguous |= body.contains(ambiguousText) && !(ambiguousText.equals("\r") && windowsLineEnd);
    // MySQL executes the content of comments that start with /*!.
    ambiguous |= body.startsWith("!");
    offset = found < 0 ? sql.length() : found + end.length();
  }
}
