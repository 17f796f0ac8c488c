package org.oleanderstep.load.report;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.load.fleet.Fleet;
import org.oleanderstep.load.fleet.ProxyNode;

/** Reads counters from the metrics pages of the proxies. */
final class ProxyCounters {

  private static final Logger LOGGER = LogManager.getLogger(ProxyCounters.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String READS = "oleanderstep_reads_total";

  private final HttpClient http = HttpClient.newHttpClient();

  /** Returns the reads that all proxies that answer have served since their start. */
  Verdict.ReadCounts reads(Fleet fleet) throws InterruptedException {
    double replica = 0;
    double primary = 0;
    for (ProxyNode proxy : fleet.proxies()) {
      String page = page(proxy);
      replica += sum(page, "replica");
      primary += sum(page, "primary");
    }
    return new Verdict.ReadCounts(Math.round(replica), Math.round(primary));
  }

  private String page(ProxyNode proxy) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + proxy.metricsAddress() + "/metrics"))
            .timeout(TIMEOUT)
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException e) {
      LOGGER.warn("the metrics of {} can't be read", proxy.vm(), e);
      return "";
    }
  }

  private static double sum(String page, String role) {
    return page.lines()
        .filter(line -> line.startsWith(READS + "{") && line.contains("\"" + role + "\""))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }
}
