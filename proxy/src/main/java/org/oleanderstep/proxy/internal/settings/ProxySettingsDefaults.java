package org.oleanderstep.proxy.internal.settings;

import com.google.protobuf.util.Durations;
import org.oleanderstep.schema.v1.CallerLimits;
import org.oleanderstep.schema.v1.FailoverTimes;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TargetSettings;

/** Default values of settings that a file omits. */
public final class ProxySettingsDefaults {

  private static final long PLATFORM_TIMEOUT_MILLIS = 1_000;
  private static final long CONFIGURATION_TRUST_SECONDS = 4;
  private static final long DRAIN_TIME_SECONDS = 30;
  private static final long GOSSIP_INTERVAL_MILLIS = 500;
  private static final long REQUEST_ID_RETENTION_HOURS = 24;
  private static final long POLL_INTERVAL_MILLIS = 200;
  private static final long SUSPECT_AFTER_MILLIS = 1_500;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long STATEMENT_TIMEOUT_SECONDS = 30;
  private static final int MAX_FRAME_BYTES = 8 << 20;
  private static final int MAX_STATEMENT_BYTES = 1 << 20;
  private static final int MAX_CONNECTIONS = 10_000;
  private static final int MAX_ROWS_PER_FRAME = 1_000;
  private static final long IDLE_TIMEOUT_MINUTES = 10;
  private static final int MAX_QUEUED_REQUESTS = 1_000;

  private ProxySettingsDefaults() {}

  /** Returns the settings with defaults for all values that were omitted. */
  public static ProxySettings applyDefaults(ProxySettings given) {
    ProxySettings.Builder s = given.toBuilder();
    if (!s.getPlatform().hasTimeout()) {
      s.getPlatformBuilder().setTimeout(Durations.fromMillis(PLATFORM_TIMEOUT_MILLIS));
    }
    if (!s.hasConfigurationTrust()) {
      s.setConfigurationTrust(Durations.fromSeconds(CONFIGURATION_TRUST_SECONDS));
    }
    if (!s.hasDrainTime()) {
      s.setDrainTime(Durations.fromSeconds(DRAIN_TIME_SECONDS));
    }
    if (!s.hasGossipInterval()) {
      s.setGossipInterval(Durations.fromMillis(GOSSIP_INTERVAL_MILLIS));
    }
    if (!s.hasRequestIdRetention()) {
      s.setRequestIdRetention(Durations.fromHours(REQUEST_ID_RETENTION_HOURS));
    }
    applyDefaults(s.getFailoverBuilder());
    applyDefaults(s.getTargetBuilder());
    applyDefaults(s.getLimitsBuilder());
    return s.build();
  }

  private static void applyDefaults(FailoverTimes.Builder times) {
    if (!times.hasPollInterval()) {
      times.setPollInterval(Durations.fromMillis(POLL_INTERVAL_MILLIS));
    }
    if (!times.hasSuspectAfter()) {
      times.setSuspectAfter(Durations.fromMillis(SUSPECT_AFTER_MILLIS));
    }
  }

  private static void applyDefaults(TargetSettings.Builder target) {
    if (!target.hasConnectTimeout()) {
      target.setConnectTimeout(Durations.fromMillis(CONNECT_TIMEOUT_MILLIS));
    }
    if (!target.hasStatementTimeout()) {
      target.setStatementTimeout(Durations.fromSeconds(STATEMENT_TIMEOUT_SECONDS));
    }
  }

  private static void applyDefaults(CallerLimits.Builder limits) {
    if (limits.getMaxFrameBytes() == 0) {
      limits.setMaxFrameBytes(MAX_FRAME_BYTES);
    }
    if (limits.getMaxStatementBytes() == 0) {
      limits.setMaxStatementBytes(MAX_STATEMENT_BYTES);
    }
    if (limits.getMaxConnections() == 0) {
      limits.setMaxConnections(MAX_CONNECTIONS);
    }
    if (limits.getMaxRowsPerFrame() == 0) {
      limits.setMaxRowsPerFrame(MAX_ROWS_PER_FRAME);
    }
    if (!limits.hasIdleTimeout()) {
      limits.setIdleTimeout(Durations.fromMinutes(IDLE_TIMEOUT_MINUTES));
    }
    if (limits.getMaxQueuedRequests() == 0) {
      limits.setMaxQueuedRequests(MAX_QUEUED_REQUESTS);
    }
  }
}
