package org.oleanderstep.proxy.internal.traffic;

import java.util.Optional;
import org.oleanderstep.core.model.MemberId;

/**
 * How a proxy reaches a member of a database group, and how much of it the proxy may use.
 *
 * @param jdbcUrl JDBC URL without credentials
 * @param incarnation incarnation last reported by the member, empty until the first status; pooled
 *     connections are bound to it
 * @param connectionShare connections that this proxy may open to the member
 * @param slots statements that the member runs at the same time, for all VMs together
 */
public record TargetMember(
    MemberId member, String jdbcUrl, Optional<String> incarnation, int connectionShare, int slots) {

  /** Checks that the shares are positive. */
  public TargetMember {
    if (connectionShare < 1 || slots < 1) {
      throw new IllegalArgumentException(
          "connectionShare and slots must be positive: " + connectionShare + ", " + slots);
    }
  }
}
