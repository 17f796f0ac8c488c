package org.oleanderstep.client.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ProxyAddressesTest {

  private static ProxyAddresses parse(String query) throws MalformedURLException {
    URL url = URI.create("http://127.0.0.1:1/v1/carrom-main/orders" + query).toURL();
    return ProxyAddresses.parse(url);
  }

  @Test
  void should_parse_all_options() throws MalformedURLException {
    ProxyAddresses addresses =
        parse("?proxies=127.0.0.2:2,127.0.0.3:3&timeoutMs=500&requestIds=always&callsPerProxy=30");
    assertThat(addresses.uris()).hasSize(3);
    assertThat(addresses.uris().get(2).toString())
        .isEqualTo("http://127.0.0.3:3/v1/carrom-main/orders");
    assertThat(addresses.timeout()).isEqualTo(Duration.ofMillis(500));
    assertThat(addresses.requestIdOnEveryWrite()).isTrue();
    assertThat(addresses.callsPerProxy()).isEqualTo(30);
  }

  @Test
  void should_neither_switch_proxies_nor_generate_request_ids_by_default()
      throws MalformedURLException {
    ProxyAddresses addresses = parse("");
    assertThat(addresses.requestIdOnEveryWrite()).isFalse();
    assertThat(addresses.callsPerProxy()).isEqualTo(0);
  }

  // Unless rejected, a negative number would move the connection after each call.
  @Test
  void should_reject_numbers_below_the_minimum() {
    assertThrows(IllegalArgumentException.class, () -> parse("?callsPerProxy=-1"));
    assertThrows(IllegalArgumentException.class, () -> parse("?timeoutMs=0"));
  }
}
