package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Corrects claims that a store returns after it was restored from an older copy.
 *
 * <pre>{@code
 * RateClaims corrected = RestoredClaims.correct(found, before, self, era);
 * }</pre>
 *
 * <p>The copy shows a past state: a VM may have given up a share since that another VM uses now.
 * What the VMs use adds up to no more than the whole, so each VM writes what it uses over what the
 * copy says of it; a VM that has started since uses nothing. For a VM that has not done so yet, the
 * greater of what the copy says and what this VM remembers stays reserved. No share may grow before
 * all VMs have corrected theirs, including those whose claims only they themselves know.
 */
public final class RestoredClaims {

  /**
   * What a VM knew before the store was restored; nothing if it has started since.
   *
   * @param claims the claims
   * @param inUse by organisation, the shares that this VM uses
   * @param vms the VMs that may have had claims, including any that this VM has not seen
   */
  public record Before(RateClaims claims, Map<OrganisationId, Double> inUse, Set<VmId> vms) {

    /** Copies the collections. */
    public Before {
      inUse = Map.copyOf(inUse);
      vms = Set.copyOf(vms);
    }
  }

  private RestoredClaims() {}

  /**
   * Returns the corrected claims.
   *
   * @param found the claims in the restored store
   * @param before what this VM knew before
   * @param self this VM
   * @param era the era of the restored store
   */
  public static RateClaims correct(RateClaims found, Before before, VmId self, long era) {
    Set<OrganisationId> organisations = new HashSet<>(found.shares().keySet());
    organisations.addAll(before.claims.shares().keySet());
    organisations.addAll(before.inUse.keySet());
    RateClaims corrected = found;
    for (OrganisationId organisation : organisations) {
      double share = before.inUse.getOrDefault(organisation, 0.0);
      corrected = corrected.withShare(organisation, self, share);
      corrected = reserve(corrected, before.claims, organisation, self, era);
    }
    return corrected.withEra(Set.of(self), era).withUnestablished(before.vms, era);
  }

  private static RateClaims reserve(
      RateClaims claims, RateClaims remembered, OrganisationId organisation, VmId self, long era) {
    Map<VmId, Double> others =
        new HashMap<>(remembered.shares().getOrDefault(organisation, Map.of()));
    others.keySet().removeIf(vm -> vm.equals(self) || claims.isEstablished(vm, era));
    RateClaims reserved = claims;
    for (Map.Entry<VmId, Double> each : others.entrySet()) {
      double share = Math.max(each.getValue(), claims.claimedBy(organisation, each.getKey()));
      reserved = reserved.withShare(organisation, each.getKey(), share);
    }
    return reserved;
  }
}
