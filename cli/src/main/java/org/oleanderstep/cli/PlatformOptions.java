package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.RetrySettings;

/** Command-line options for the connection to the platform. */
public class PlatformOptions {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String CLIENT_NAME = "operator";

  @Option(
      name = "--platform",
      title = "URL",
      description = "address of the platform, as in http://10.0.0.5:8700")
  private String url;

  @Option(
      name = "--wait",
      title = "SECONDS",
      description = "time for which calls without an answer are repeated; the default is 10")
  private int waitSeconds = 10;

  boolean isGiven() {
    return url != null;
  }

  PlatformClient client() {
    if (url == null) {
      throw new CommandException(ExitCode.USAGE, "--platform URL is required");
    }
    try {
      URI uri = URI.create(url);
      if (uri.getScheme() == null || uri.getHost() == null) {
        throw new IllegalArgumentException("no scheme or host");
      }
      return new PlatformClient(
          uri,
          TIMEOUT,
          RetrySettings.INTERACTIVE.withBudget(Duration.ofSeconds(waitSeconds)),
          CLIENT_NAME);
    } catch (IllegalArgumentException e) {
      throw new CommandException(
          ExitCode.USAGE,
          "--platform: \"" + url + "\" is not a URL; write it as in http://10.0.0.5:8700");
    }
  }

  ConfigurationStore store() {
    return new ConfigurationStore(client(), InstantSource.system());
  }
}
