package org.oleanderstep.proxy.internal.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/** An address of the form {@code host:port}; IPv6 hosts are written in brackets. */
public record HostPort(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /** Parses an address; empty if the text does not have this form. */
  public static Optional<HostPort> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1 || colon == text.length() - 1) {
      return Optional.empty();
    }
    String host = text.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    if (host.contains(":") && !bracketed) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      boolean valid = port >= 0 && port <= MAX_PORT;
      return valid
          ? Optional.of(new HostPort(bracketed ? host.substring(1, host.length() - 1) : host, port))
          : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the address to bind or connect to. */
  public InetSocketAddress toSocketAddress() {
    return new InetSocketAddress(host, port);
  }

  /** Returns the same host with another port. */
  public HostPort withPort(int actualPort) {
    return new HostPort(host, actualPort);
  }

  @Override
  public String toString() {
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
  }
}
