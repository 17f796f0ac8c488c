package org.oleanderstep.proxy.internal.control;

import java.time.Duration;
import java.util.List;
import org.oleanderstep.core.admission.AdmissionSettings;
import org.oleanderstep.core.failover.FailoverSettings;
import org.oleanderstep.core.membership.MembershipSettings;
import org.oleanderstep.proxy.internal.convert.DurationConverter;
import org.oleanderstep.schema.v1.ProxySettings;

/**
 * Settings of the control plane.
 *
 * @param pollInterval interval between status polls of a member
 * @param seedPeers addresses to contact when no peer is known
 */
record ControlSettings(
    MembershipSettings membership,
    FailoverSettings failover,
    AdmissionSettings admission,
    Duration pollInterval,
    List<String> seedPeers,
    Duration drainTime) {

  /** Extracts the settings of the control plane from validated proxy settings. */
  static ControlSettings of(ProxySettings settings) {
    MembershipSettings membership =
        new MembershipSettings(
            DurationConverter.toCore(settings.getGossipInterval()),
            MembershipSettings.DEFAULT.suspectAfter(),
            MembershipSettings.DEFAULT.forgetAfter(),
            DurationConverter.toCore(settings.getConfigurationTrust()));
    FailoverSettings failover =
        new FailoverSettings(
            DurationConverter.toCore(settings.getFailover().getSuspectAfter()),
            FailoverSettings.DEFAULT.rankDelay(),
            FailoverSettings.DEFAULT.attemptTimeout());
    return new ControlSettings(
        membership,
        failover,
        AdmissionSettings.DEFAULT,
        DurationConverter.toCore(settings.getFailover().getPollInterval()),
        List.copyOf(settings.getSeedPeersList()),
        DurationConverter.toCore(settings.getDrainTime()));
  }
}
