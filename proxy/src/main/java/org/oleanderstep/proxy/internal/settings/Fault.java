package org.oleanderstep.proxy.internal.settings;

/**
 * One thing that is wrong with a file.
 *
 * @param path field, as in {@code failover.pollInterval} or {@code routes[2].service}; empty for
 *     the file as a whole
 * @param problem what is wrong, with the value
 * @param remedy what would be right
 */
public record Fault(String path, String problem, String remedy) {

  @Override
  public String toString() {
    String place = path.isEmpty() ? "" : path + ": ";
    return place + problem + "; " + remedy;
  }
}
