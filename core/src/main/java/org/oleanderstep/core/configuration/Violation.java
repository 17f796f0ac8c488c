package org.oleanderstep.core.configuration;

/**
 * A rule that a declared object violates.
 *
 * @param objectName name of the object, prefixed with the names of the objects that contain it
 * @param field name of the field in the declaration
 * @param problem what is wrong, usually with the value
 * @param remedy how the operator can correct it
 */
public record Violation(
    ObjectKind objectKind, String objectName, String field, String problem, String remedy) {

  @Override
  public String toString() {
    return objectKind.label()
        + " \""
        + objectName
        + "\", "
        + field
        + ": "
        + problem
        + "; "
        + remedy;
  }
}
