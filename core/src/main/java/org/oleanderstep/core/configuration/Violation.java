package org.oleanderstep.core.configuration;

/**
 * One thing that is wrong with a set of declared objects.
 *
 * @param objectName name of the object, qualified by the names of the objects that contain it
 * @param field field of the object as it is named in the declaration
 * @param problem what is wrong, with the value
 * @param remedy what the operator can do
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
