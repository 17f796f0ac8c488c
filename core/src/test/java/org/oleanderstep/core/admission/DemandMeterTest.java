package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;

class DemandMeterTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final DemandMeter meter = new DemandMeter(0);
  private long now;

  private double measureSecond(int operations) {
    for (int i = 0; i < operations; i++) {
      meter.record(SHOP);
    }
    now += SECOND;
    return meter.endInterval(now).getOrDefault(SHOP, 0.0);
  }

  @Test
  void should_approach_a_steady_demand() {
    double measured = 0;
    for (int i = 0; i < 10; i++) {
      measured = measureSecond(40);
    }

    assertThat(measured).isWithin(1.0).of(40.0);
  }

  // The average must follow a rise fast, since callers are refused until it has.
  @Test
  void should_rise_faster_than_it_falls() {
    for (int i = 0; i < 10; i++) {
      measureSecond(20);
    }
    double risen = measureSecond(60);
    assertThat(risen).isAtLeast(40.0);

    double fallen = measureSecond(0);
    assertThat(fallen).isAtLeast(risen * 0.7);
  }
}
