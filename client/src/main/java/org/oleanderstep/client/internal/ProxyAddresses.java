package org.oleanderstep.client.internal;

import java.net.URI;
import java.net.URISyntaxException;
import java.net.URL;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Proxy addresses and options of a connection URL.
 *
 * @param uris address of each proxy, without a query string
 * @param timeout maximum duration of a call, including retries
 * @param requestIdOnEveryWrite whether each call that may write and has no request id gets a random
 *     one
 * @param callsPerProxy number of calls after which the connection moves to the next proxy, or zero
 *     to stay
 */
public record ProxyAddresses(
    List<URI> uris, Duration timeout, boolean requestIdOnEveryWrite, int callsPerProxy) {

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

  /**
   * Parses {@code http://host:port/v1/service/database?proxies=host:port,...&timeoutMs=30000
   * &requestIds=always&callsPerProxy=1000}.
   */
  public static ProxyAddresses parse(URL url) {
    Map<String, String> options = options(url.getQuery());
    List<URI> uris = new ArrayList<>();
    uris.add(address(url, url.getAuthority()));
    for (String proxy : options.getOrDefault("proxies", "").split(",", -1)) {
      if (!proxy.isBlank()) {
        uris.add(address(url, proxy.strip()));
      }
    }
    Duration timeout =
        options.containsKey("timeoutMs")
            ? Duration.ofMillis(Long.parseLong(options.get("timeoutMs")))
            : DEFAULT_TIMEOUT;
    if (timeout.isNegative() || timeout.isZero()) {
      throw new IllegalArgumentException("timeoutMs must be positive: " + timeout.toMillis());
    }
    int callsPerProxy = Integer.parseInt(options.getOrDefault("callsPerProxy", "0"));
    if (callsPerProxy < 0) {
      throw new IllegalArgumentException("callsPerProxy must not be negative: " + callsPerProxy);
    }
    return new ProxyAddresses(
        List.copyOf(uris), timeout, "always".equals(options.get("requestIds")), callsPerProxy);
  }

  private static Map<String, String> options(String query) {
    if (query == null) {
      return Map.of();
    }
    return Stream.of(query.split("&", -1))
        .map(option -> option.split("=", 2))
        .filter(option -> option.length == 2)
        .collect(Collectors.toMap(option -> option[0], option -> option[1], (a, b) -> b));
  }

  private static URI address(URL url, String authority) {
    try {
      return new URI(url.getProtocol(), authority, url.getPath(), null, null);
    } catch (URISyntaxException e) {
      throw new IllegalArgumentException(
          "invalid proxy address, expected host:port: " + authority, e);
    }
  }
}
