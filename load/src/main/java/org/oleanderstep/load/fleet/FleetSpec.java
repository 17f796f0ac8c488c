package org.oleanderstep.load.fleet;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.oleanderstep.schema.v1.Declarations;

/**
 * What a fleet consists of.
 *
 * @param declarations declared objects; addresses of members and the keys are replaced
 * @param proxies number of proxies
 * @param applyLag lag with which replicas apply entries
 * @param directory empty directory for settings, logs and the members' data
 * @param failureDomains failure domains that proxies are spread over
 */
public record FleetSpec(
    Declarations declarations,
    int proxies,
    Duration applyLag,
    Path directory,
    List<String> failureDomains) {

  /** Copies the list of failure domains and checks that the fleet has a proxy. */
  public FleetSpec {
    failureDomains = List.copyOf(failureDomains);
    if (proxies < 1) {
      throw new IllegalArgumentException("a fleet needs at least one proxy, not " + proxies);
    }
    if (failureDomains.isEmpty()) {
      throw new IllegalArgumentException("a fleet needs at least one failure domain");
    }
  }
}
