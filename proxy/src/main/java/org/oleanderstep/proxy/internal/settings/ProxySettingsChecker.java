package org.oleanderstep.proxy.internal.settings;

import com.google.protobuf.Duration;
import com.google.protobuf.util.Durations;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.oleanderstep.schema.v1.CallerLimits;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TlsSettings;

/** Checks the values of settings whose form is right. */
public final class ProxySettingsChecker {

  /** Longest trust that keeps the bound of 5 s for withdrawn keys. */
  private static final Duration MAX_TRUST = Durations.fromSeconds(4);

  private static final Duration MAX_GOSSIP = Durations.fromSeconds(1);

  private final List<Fault> faults = new ArrayList<>();

  private ProxySettingsChecker() {}

  /** Returns all faults of settings to which the defaults were added. */
  public static List<Fault> check(ProxySettings settings) {
    ProxySettingsChecker checker = new ProxySettingsChecker();
    checker.checkIdentity(settings);
    checker.checkPlatform(settings);
    checker.checkTarget(settings);
    checker.checkTls("callerTls", settings.getCallerTls());
    checker.checkTls("peerTls", settings.getPeerTls());
    checker.checkTimes(settings);
    checker.checkLimits(settings.getLimits());
    return List.copyOf(checker.faults);
  }

  private void checkIdentity(ProxySettings s) {
    required("vm", s.getVm(), "name the VM as the platform's list does");
    required("region", s.getRegion(), "name the region, as in \"pe-central\"");
    required("failureDomain", s.getFailureDomain(), "name the failure domain, as in \"a\"");
    address("callerAddress", s.getCallerAddress());
    address("peerAddress", s.getPeerAddress());
    address("metricsAddress", s.getMetricsAddress());
    for (int i = 0; i < s.getSeedPeersCount(); i++) {
      address("seedPeers[" + i + "]", s.getSeedPeers(i));
    }
  }

  private void checkPlatform(ProxySettings s) {
    String url = s.getPlatform().getUrl();
    if (!isHttpUrl(url)) {
      fault("platform.url", quoted(url) + " is not an HTTP URL", "write http://host:port");
    }
    positive("platform.timeout", s.getPlatform().getTimeout());
  }

  private void checkTarget(ProxySettings s) {
    required("target.user", s.getTarget().getUser(), "name the proxy's account at the targets");
    readable("target.passwordFile", s.getTarget().getPasswordFile());
    positive("target.connectTimeout", s.getTarget().getConnectTimeout());
    positive("target.statementTimeout", s.getTarget().getStatementTimeout());
  }

  private void checkTls(String path, TlsSettings tls) {
    if (tls.getEnabled()) {
      readable(path + ".certificateFile", tls.getCertificateFile());
      readable(path + ".privateKeyFile", tls.getPrivateKeyFile());
      if (!tls.getTrustedCertificatesFile().isEmpty() || path.equals("peerTls")) {
        readable(path + ".trustedCertificatesFile", tls.getTrustedCertificatesFile());
      }
    }
  }

  private void checkTimes(ProxySettings s) {
    positive("configurationTrust", s.getConfigurationTrust());
    atMost("configurationTrust", s.getConfigurationTrust(), MAX_TRUST);
    positive("gossipInterval", s.getGossipInterval());
    atMost("gossipInterval", s.getGossipInterval(), MAX_GOSSIP);
    positive("requestIdRetention", s.getRequestIdRetention());
    positive("failover.pollInterval", s.getFailover().getPollInterval());
    positive("failover.suspectAfter", s.getFailover().getSuspectAfter());
    if (Durations.compare(s.getFailover().getPollInterval(), s.getFailover().getSuspectAfter())
        >= 0) {
      fault(
          "failover.suspectAfter",
          Durations.toString(s.getFailover().getSuspectAfter()) + " is not above pollInterval",
          "write several times failover.pollInterval, as in \"1.5s\"");
    }
    if (Durations.isNegative(s.getDrainTime())) {
      fault("drainTime", "the time is negative", "write \"0s\" or more, as in \"30s\"");
    }
  }

  private void checkLimits(CallerLimits limits) {
    positive("limits.maxFrameBytes", limits.getMaxFrameBytes());
    positive("limits.maxStatementBytes", limits.getMaxStatementBytes());
    positive("limits.maxConnections", limits.getMaxConnections());
    positive("limits.maxRowsPerFrame", limits.getMaxRowsPerFrame());
    positive("limits.maxQueuedRequests", limits.getMaxQueuedRequests());
    positive("limits.idleTimeout", limits.getIdleTimeout());
    if (limits.getMaxStatementBytes() > limits.getMaxFrameBytes()) {
      fault(
          "limits.maxStatementBytes",
          limits.getMaxStatementBytes() + " is above limits.maxFrameBytes",
          "a statement must fit into a frame");
    }
  }

  private void required(String path, String value, String remedy) {
    if (value.isBlank()) {
      fault(path, "the value is missing", remedy);
    }
  }

  private void address(String path, String value) {
    if (value.isBlank()) {
      fault(path, "the value is missing", "write host:port, as in \"10.0.0.7:8765\"");
    } else if (HostPort.parse(value).isEmpty()) {
      fault(path, quoted(value) + " is not an address", "write host:port, as in 10.0.0.7:8765");
    }
  }

  private void readable(String path, String file) {
    if (file.isBlank()) {
      fault(path, "the value is missing", "name a readable file");
    } else if (!Files.isRegularFile(Path.of(file)) || !Files.isReadable(Path.of(file))) {
      fault(path, quoted(file) + " cannot be read", "name a file that exists and is readable");
    }
  }

  private void positive(String path, Duration value) {
    if (!Durations.isPositive(value)) {
      fault(
          path,
          Durations.toString(value) + " is not a positive time",
          "write more than zero, as in \"0.5s\"");
    }
  }

  private void positive(String path, int value) {
    if (value < 1) {
      fault(path, value + " is not positive", "write 1 or more");
    }
  }

  private void atMost(String path, Duration value, Duration limit) {
    if (Durations.compare(value, limit) > 0) {
      fault(
          path,
          Durations.toString(value) + " is too long to stop withdrawn keys within 5 s",
          "write at most " + Durations.toString(limit));
    }
  }

  private void fault(String path, String problem, String remedy) {
    faults.add(new Fault(path, problem, remedy));
  }

  private static String quoted(String value) {
    return "\"" + value + "\"";
  }

  private static boolean isHttpUrl(String text) {
    try {
      URI uri = new URI(text);
      String scheme = uri.getScheme() == null ? "" : uri.getScheme().toLowerCase(Locale.ROOT);
      return uri.getHost() != null && (scheme.equals("http") || scheme.equals("https"));
    } catch (URISyntaxException e) {
      return false;
    }
  }
}
