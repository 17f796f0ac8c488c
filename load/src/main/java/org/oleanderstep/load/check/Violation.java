package org.oleanderstep.load.check;

/**
 * An operation or a row that breaks an invariant.
 *
 * @param invariant id in docs/design.md, such as {@code H1}
 * @param subject session, order or database that is affected
 * @param detail what was expected and what was found
 */
public record Violation(String invariant, String subject, String detail) {

  @Override
  public String toString() {
    return invariant + " " + subject + ": " + detail;
  }
}
