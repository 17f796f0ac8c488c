package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;

class RateWindowsTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final OrganisationId LAB = new OrganisationId("lab");

  private final RateWindows windows = new RateWindows(7_300);

  // A line for each organisation and second would flood the log in calm.
  @Test
  void should_report_only_organisations_with_a_refusal_once_their_second_is_over() {
    windows.recordRequested(LAB);
    windows.recordAdmitted(LAB);
    windows.recordRequested(SHOP);
    windows.recordRefused(SHOP);

    assertThat(windows.endSecond(7_999)).isEmpty();
    assertThat(windows.endSecond(8_010)).containsExactly(new RateWindow(SHOP, 7, 1, 0, 1));
    assertThat(windows.endSecond(9_010)).isEmpty();
  }

  // A refusal on one VM is only a fault if all VMs together admitted less than the rate.
  @Test
  void should_tell_refusals_inside_the_rate_from_the_sum_over_all_vms() {
    RateWindow here = new RateWindow(SHOP, 7, 5, 2, 3);
    RateWindow there = new RateWindow(SHOP, 7, 6, 6, 0);

    assertThat(here.plus(there).refusedWithin(10)).isEqualTo(2);
    assertThat(here.plus(there).refusedWithin(8)).isEqualTo(0);
    assertThat(here.plus(there).refusedWithin(50)).isEqualTo(3);
  }
}
