package org.oleanderstep.core.routing;

/**
 * Tells reads from writes by the first keyword of a statement.
 *
 * <pre>{@code
 * StatementClassifier.classify("select 1"); // READ
 * }</pre>
 */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class StatementClassifier {

  private StatementClassifier() {}

  /** Returns the kind of the statement; in doubt it writes. */
  public static StatementKind classify(String sql) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
