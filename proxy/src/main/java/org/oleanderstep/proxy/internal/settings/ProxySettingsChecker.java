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
import java.util.regex.Pattern;
import org.oleanderstep.schema.v1.CallerLimits;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TlsSettings;

/** Checks the values of settings that were parsed without format errors. */
public final class ProxySettingsChecker {

  /** Longest configuration trust with which a withdrawn key stops working within 5 s. */
  private static final Duration MAX_CONFIGURATION_TRUST = Durations.fromSeconds(4);

  private static final Duration MAX_GOSSIP_INTERVAL = Durations.fromSeconds(1);

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  private final List<ValidationError> errors = new ArrayList<>();

  private ProxySettingsChecker() {}

  /** Returns all errors in settings to which the defaults were applied. */
  public static List<ValidationError> check(ProxySettings settings) {
    ProxySettingsChecker checker = new ProxySettingsChecker();
    checker.checkIdentity(settings);
    checker.checkPlatform(settings);
    checker.checkTarget(settings);
    checker.checkTls("callerTls", settings.getCallerTls());
    checker.checkTls("peerTls", settings.getPeerTls());
    checker.checkTimes(settings);
    checker.checkLimits(settings.getLimits());
    return List.copyOf(checker.errors);
  }

  private void checkIdentity(ProxySettings s) {
    checkPresent("vm", s.getVm(), "name the VM as the platform's list does");
    checkName("vm", s.getVm());
    checkPresent("region", s.getRegion(), "name the region, as in \"pe-central\"");
    checkPresent("failureDomain", s.getFailureDomain(), "name the failure domain, as in \"a\"");
    checkAddress("callerAddress", s.getCallerAddress());
    checkAddress("peerAddress", s.getPeerAddress());
    checkAddress("metricsAddress", s.getMetricsAddress());
    for (int i = 0; i < s.getSeedPeersCount(); i++) {
      checkAddress("seedPeers[" + i + "]", s.getSeedPeers(i));
    }
  }

  private void checkPlatform(ProxySettings s) {
    String url = s.getPlatform().getUrl();
    if (!isHttpUrl(url)) {
      addError("platform.url", quoted(url) + " is not an HTTP URL", "write http://host:port");
    }
    checkPositive("platform.timeout", s.getPlatform().getTimeout());
  }

  private void checkTarget(ProxySettings s) {
    checkPresent("target.user", s.getTarget().getUser(), "name the proxy's account at the targets");
    if (s.getTarget().getUser().contains(":")) {
      addError(
          "target.user",
          quoted(s.getTarget().getUser()) + " contains a colon, at which a member would end it",
          "name an account without a colon");
    }
    checkReadable("target.passwordFile", s.getTarget().getPasswordFile());
    checkPositive("target.connectTimeout", s.getTarget().getConnectTimeout());
    checkPositive("target.statementTimeout", s.getTarget().getStatementTimeout());
  }

  private void checkTls(String path, TlsSettings tls) {
    if (tls.getEnabled()) {
      checkReadable(path + ".certificateFile", tls.getCertificateFile());
      checkReadable(path + ".privateKeyFile", tls.getPrivateKeyFile());
      if (!tls.getTrustedCertificatesFile().isEmpty() || path.equals("peerTls")) {
        checkReadable(path + ".trustedCertificatesFile", tls.getTrustedCertificatesFile());
      }
    }
  }

  private void checkTimes(ProxySettings s) {
    checkPositive("configurationTrust", s.getConfigurationTrust());
    checkAtMost("configurationTrust", s.getConfigurationTrust(), MAX_CONFIGURATION_TRUST);
    checkPositive("gossipInterval", s.getGossipInterval());
    checkAtMost("gossipInterval", s.getGossipInterval(), MAX_GOSSIP_INTERVAL);
    checkPositive("requestIdRetention", s.getRequestIdRetention());
    checkPositive("failover.pollInterval", s.getFailover().getPollInterval());
    checkPositive("failover.suspectAfter", s.getFailover().getSuspectAfter());
    if (Durations.compare(s.getFailover().getPollInterval(), s.getFailover().getSuspectAfter())
        >= 0) {
      addError(
          "failover.suspectAfter",
          Durations.toString(s.getFailover().getSuspectAfter()) + " is not above pollInterval",
          "write several times failover.pollInterval, as in \"1.5s\"");
    }
    if (Durations.isNegative(s.getDrainTime())) {
      addError("drainTime", "the time is negative", "write \"0s\" or more, as in \"30s\"");
    }
  }

  private void checkLimits(CallerLimits limits) {
    checkPositive("limits.maxFrameBytes", limits.getMaxFrameBytes());
    checkPositive("limits.maxStatementBytes", limits.getMaxStatementBytes());
    checkPositive("limits.maxConnections", limits.getMaxConnections());
    checkPositive("limits.maxRowsPerFrame", limits.getMaxRowsPerFrame());
    checkPositive("limits.maxQueuedRequests", limits.getMaxQueuedRequests());
    checkPositive("limits.idleTimeout", limits.getIdleTimeout());
    if (limits.getMaxStatementBytes() > limits.getMaxFrameBytes()) {
      addError(
          "limits.maxStatementBytes",
          limits.getMaxStatementBytes() + " is above limits.maxFrameBytes",
          "a statement must fit into a frame");
    }
  }

  private void checkPresent(String path, String value, String remedy) {
    if (value.isBlank()) {
      addError(path, "the value is missing", remedy);
    }
  }

  private void checkName(String path, String value) {
    if (!value.isBlank() && !NAME.matcher(value).matches()) {
      addError(
          path,
          quoted(value) + " is not a valid name",
          "use letters, digits, points, underscores and hyphens, first a letter or digit");
    }
  }

  private void checkAddress(String path, String value) {
    if (value.isBlank()) {
      addError(path, "the value is missing", "write host:port, as in \"10.0.0.7:8765\"");
    } else if (HostPort.parse(value).isEmpty()) {
      addError(path, quoted(value) + " is not an address", "write host:port, as in 10.0.0.7:8765");
    }
  }

  private void checkReadable(String path, String file) {
    if (file.isBlank()) {
      addError(path, "the value is missing", "name a readable file");
    } else if (!Files.isRegularFile(Path.of(file)) || !Files.isReadable(Path.of(file))) {
      addError(path, quoted(file) + " cannot be read", "name a file that exists and is readable");
    }
  }

  private void checkPositive(String path, Duration value) {
    if (!Durations.isPositive(value)) {
      addError(
          path,
          Durations.toString(value) + " is not a positive time",
          "write more than zero, as in \"0.5s\"");
    }
  }

  private void checkPositive(String path, int value) {
    if (value < 1) {
      addError(path, value + " is not positive", "write 1 or more");
    }
  }

  private void checkAtMost(String path, Duration value, Duration limit) {
    if (Durations.compare(value, limit) > 0) {
      addError(
          path,
          Durations.toString(value) + " is too long to stop withdrawn keys within 5 s",
          "write at most " + Durations.toString(limit));
    }
  }

  private void addError(String path, String problem, String remedy) {
    errors.add(new ValidationError(path, problem, remedy));
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
