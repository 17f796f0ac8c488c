package org.oleanderstep.gateway.session;

/**
 * A statement of a caller.
 *
 * @param id the request id that the caller assigned
 * @param kind the kind of statement
 * @param text the complete text as the caller sent it
 * @param name the variable of SET, or the name of a prepared statement; empty for other kinds
 * @param argument the value of SET, the template of PREPARE, or the arguments of EXECUTE
 * @param effect the effect of WRITE or of the statement that PREPARE defines; READ for other kinds
 */
public record Statement(
    String id,
    StatementKind kind,
    String text,
    String name,
    String argument,
    StatementEffect effect) {

  /** Creates a statement without name and argument. */
  public static Statement plain(String id, StatementKind kind, String text) {
    StatementEffect effect =
        kind == StatementKind.WRITE ? StatementEffect.WRITE : StatementEffect.READ;
    return new Statement(id, kind, text, "", "", effect);
  }
}
