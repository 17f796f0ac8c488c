package org.oleanderstep.proxy.internal.declarations;

/**
 * One reason why a directory of declared objects is refused.
 *
 * @param file file, relative to the directory
 * @param object kind and name of the object; empty if the fault concerns the form of the file
 * @param field field of the object, or path within the file
 * @param problem what is wrong
 * @param remedy what would be right
 */
public record Refusal(String file, String object, String field, String problem, String remedy) {

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
