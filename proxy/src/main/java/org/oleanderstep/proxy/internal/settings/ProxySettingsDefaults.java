package org.oleanderstep.proxy.internal.settings;

import com.google.protobuf.util.Durations;
import org.oleanderstep.schema.v1.CallerLimits;
import org.oleanderstep.schema.v1.FailoverTimes;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TargetSettings;

/** Values of settings that a file leaves out. */
public final class ProxySettingsDefaults {

  private static final long PLATFORM_TIMEOUT_MILLIS = 1_000;
  private static final long CONFIGURATION_TRUST_SECONDS = 4;
  private static final long DRAIN_SECONDS = 30;
  private static final long GOSSIP_MILLIS = 500;
  private static final long REQUEST_ID_RETENTION_HOURS = 24;
  private static final long POLL_MILLIS = 200;
  private static final long SUSPECT_MILLIS = 1_500;
  private static final long CONNECT_MILLIS = 1_000;
  private static final long STATEMENT_SECONDS = 30;
  private static final int FRAME_BYTES = 8 << 20;
  private static final int STATEMENT_BYTES = 1 << 20;
  private static final int CONNECTIONS = 10_000;
  private static final int ROWS_PER_FRAME = 1_000;
  private static final long IDLE_MINUTES = 10;
  private static final int QUEUED_REQUESTS = 1_000;

  private ProxySettingsDefaults() {}

  /** Returns the settings with all values that were left out. */
  public static ProxySettings fill(ProxySettings given) {
    ProxySettings.Builder s = given.toBuilder();
    if (!s.getPlatform().hasTimeout()) {
      s.getPlatformBuilder().setTimeout(Durations.fromMillis(PLATFORM_TIMEOUT_MILLIS));
    }
    if (!s.hasConfigurationTrust()) {
      s.setConfigurationTrust(Durations.fromSeconds(CONFIGURATION_TRUST_SECONDS));
    }
    if (!s.hasDrainTime()) {
      s.setDrainTime(Durations.fromSeconds(DRAIN_SECONDS));
    }
    if (!s.hasGossipInterval()) {
      s.setGossipInterval(Durations.fromMillis(GOSSIP_MILLIS));
    }
    if (!s.hasRequestIdRetention()) {
      s.setRequestIdRetention(Durations.fromHours(REQUEST_ID_RETENTION_HOURS));
    }
    fill(s.getFailoverBuilder());
    fill(s.getTargetBuilder());
    fill(s.getLimitsBuilder());
    return s.build();
  }

  private static void fill(FailoverTimes.Builder times) {
    if (!times.hasPollInterval()) {
      times.setPollInterval(Durations.fromMillis(POLL_MILLIS));
    }
    if (!times.hasSuspectAfter()) {
      times.setSuspectAfter(Durations.fromMillis(SUSPECT_MILLIS));
    }
  }

  private static void fill(TargetSettings.Builder target) {
    if (!target.hasConnectTimeout()) {
      target.setConnectTimeout(Durations.fromMillis(CONNECT_MILLIS));
    }
    if (!target.hasStatementTimeout()) {
      target.setStatementTimeout(Durations.fromSeconds(STATEMENT_SECONDS));
    }
  }

  private static void fill(CallerLimits.Builder limits) {
    if (limits.getMaxFrameBytes() == 0) {
      limits.setMaxFrameBytes(FRAME_BYTES);
    }
    if (limits.getMaxStatementBytes() == 0) {
      limits.setMaxStatementBytes(STATEMENT_BYTES);
    }
    if (limits.getMaxConnections() == 0) {
      limits.setMaxConnections(CONNECTIONS);
    }
    if (limits.getMaxRowsPerFrame() == 0) {
      limits.setMaxRowsPerFrame(ROWS_PER_FRAME);
    }
    if (!limits.hasIdleTimeout()) {
      limits.setIdleTimeout(Durations.fromMinutes(IDLE_MINUTES));
    }
    if (limits.getMaxQueuedRequests() == 0) {
      limits.setMaxQueuedRequests(QUEUED_REQUESTS);
    }
  }
}
