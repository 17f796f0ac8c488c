package org.oleanderstep.proxy.internal.settings;

/**
 * One error in a file of settings or declarations.
 *
 * @param path path of the field, as in {@code failover.pollInterval} or {@code routes[2].service};
 *     empty for the file as a whole
 * @param problem description of the error, with the value
 * @param remedy how to correct it
 */
public record ValidationError(String path, String problem, String remedy) {

  @Override
  public String toString() {
    String prefix = path.isEmpty() ? "" : path + ": ";
    return prefix + problem + "; " + remedy;
  }
}
