package org.oleanderstep.gateway.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.oleanderstep.core.model.MemberId;

/**
 * A member of a database service, as described by its own registry entry.
 *
 * @param id the member's name; a restarted process keeps the name but has another start time
 * @param startMillis start of this process, in milliseconds since the Unix epoch
 * @param service the service that it belongs to
 * @param address the address at which it accepts connections
 * @param failureDomain the failure domain in which it runs
 * @param slots the number of statements that it executes concurrently
 * @param draining whether it is draining before a stop
 * @param claimsPrimary whether it considers itself the primary
 * @param coldLeft how much longer it is slow after its start; zero if it is not
 */
public record TargetMember(
    MemberId id,
    long startMillis,
    String service,
    InetSocketAddress address,
    String failureDomain,
    int slots,
    boolean draining,
    boolean claimsPrimary,
    Duration coldLeft) {

  /** Creates a member that is not cold. */
  public TargetMember(
      MemberId id,
      long startMillis,
      String service,
      InetSocketAddress address,
      String failureDomain,
      int slots,
      boolean draining,
      boolean claimsPrimary) {
    this(
        id,
        startMillis,
        service,
        address,
        failureDomain,
        slots,
        draining,
        claimsPrimary,
        Duration.ZERO);
  }

  /** Returns whether both describe the same process at the same address. */
  public boolean isSameProcess(TargetMember other) {
    return id.equals(other.id)
        && startMillis == other.startMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
