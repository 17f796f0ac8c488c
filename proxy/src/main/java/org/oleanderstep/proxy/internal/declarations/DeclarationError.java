package org.oleanderstep.proxy.internal.declarations;

/**
 * One error in a directory of declarations, because of which the directory is rejected.
 *
 * @param file path of the file, relative to the directory
 * @param object kind and name of the object; empty if the file has a format error
 * @param field field of the object, or path within the file
 * @param problem description of the error
 * @param remedy how to correct it
 */
public record DeclarationError(
    String file, String object, String field, String problem, String remedy) {

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file).append(": ");
    if (!object.isEmpty()) {
      text.append(object).append(": ");
    }
    if (!field.isEmpty()) {
      text.append(field).append(": ");
    }
    return text.append(problem).append("; ").append(remedy).toString();
  }
}
