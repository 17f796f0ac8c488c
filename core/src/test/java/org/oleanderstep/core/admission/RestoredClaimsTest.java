package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

class RestoredClaimsTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final VmId ONE = new VmId("one");
  private static final VmId TWO = new VmId("two");
  private static final VmId THREE = new VmId("three");
  private static final long ERA = 4;

  private static RateClaims claims(Map<VmId, Double> shares) {
    return new RateClaims(Map.of(SHOP, shares), Map.of(), Map.of(ONE, 3L, TWO, 3L, THREE, 3L));
  }

  private static RateClaims correct(
      RateClaims found, RateClaims remembered, Map<OrganisationId, Double> inUse) {
    RestoredClaims.Before before =
        new RestoredClaims.Before(remembered, inUse, Set.of(ONE, TWO, THREE));
    return RestoredClaims.correct(found, before, ONE, ERA);
  }

  @Test
  void should_write_what_the_vm_uses_over_what_the_copy_says() {
    RateClaims found = claims(Map.of(ONE, 0.75, TWO, 0.25));

    RateClaims corrected = correct(found, RateClaims.NONE, Map.of(SHOP, 0.25));

    assertThat(corrected.claimedBy(SHOP, ONE)).isEqualTo(0.25);
    assertThat(corrected.claimedBy(SHOP, TWO)).isEqualTo(0.25);
    assertThat(corrected.isEstablished(ONE, ERA)).isTrue();
    assertThat(corrected.isEstablished(TWO, ERA)).isFalse();
  }

  // A process that has started since uses nothing; the share in the copy may be another VM's now.
  @Test
  void should_give_up_the_share_of_a_process_that_has_started_since() {
    RateClaims found = claims(Map.of(ONE, 0.75));

    assertThat(correct(found, RateClaims.NONE, Map.of()).claimedBy(SHOP, ONE)).isEqualTo(0);
  }

  @Test
  void should_reserve_the_greater_share_of_a_vm_that_has_not_corrected_its_own() {
    RateClaims found = claims(Map.of(ONE, 0.5, TWO, 0.5));
    RateClaims remembered = claims(Map.of(ONE, 0.25, TWO, 0.25, THREE, 0.5));

    RateClaims corrected = correct(found, remembered, Map.of(SHOP, 0.25));

    assertThat(corrected.claimedBy(SHOP, TWO)).isEqualTo(0.5);
    assertThat(corrected.claimedBy(SHOP, THREE)).isEqualTo(0.5);
    assertThat(corrected.unclaimed(SHOP)).isEqualTo(0);
  }

  @Test
  void should_leave_the_share_of_a_vm_that_has_corrected_its_own() {
    RateClaims found = claims(Map.of(ONE, 0.5, TWO, 0.125)).withEra(Set.of(TWO), ERA);
    RateClaims remembered = claims(Map.of(ONE, 0.25, TWO, 0.75));

    RateClaims corrected = correct(found, remembered, Map.of(SHOP, 0.25));

    assertThat(corrected.claimedBy(SHOP, TWO)).isEqualTo(0.125);
  }

  // Another VM that does not know it would otherwise take what it uses.
  @Test
  void should_name_a_vm_whose_claims_no_other_vm_has_seen() {
    RateClaims found = new RateClaims(Map.of(), Map.of(), Map.of(TWO, ERA));

    RateClaims corrected = correct(found, RateClaims.NONE, Map.of());

    assertThat(corrected.eras().keySet()).containsExactly(ONE, TWO, THREE);
    assertThat(corrected.isEstablished(TWO, ERA)).isTrue();
    assertThat(corrected.isEstablished(THREE, ERA)).isFalse();
  }

  // Claims without eras were written by a version that knows none.
  @Test
  void should_trust_claims_without_eras() {
    RateClaims old = new RateClaims(Map.of(SHOP, Map.of(ONE, 0.5)), Map.of());

    assertThat(old.isEstablished(ONE, ERA)).isTrue();
    assertThat(old.withEra(Set.of(ONE), ERA).isEstablished(TWO, ERA)).isFalse();
  }
}
