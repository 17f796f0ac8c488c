package org.oleanderstep.proxy.internal.control;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.traffic.ControlPlane;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;

/** Registers gauges for the state of the control plane. */
public final class ControlMetrics {

  private ControlMetrics() {}

  /** Registers the gauges, which read the latest snapshot. */
  public static void register(
      MeterRegistry registry, ControlPlane control, PlatformClient platform) {
    Gauge.builder("oleanderstep.platform.era", platform, PlatformClient::era)
        .description("times that the platform is known to have returned to an older copy")
        .register(registry);
    gauge(
        registry,
        control,
        "oleanderstep.configuration.generation",
        "generation of the configuration in force, 0 for none",
        s -> s.configuration().map(c -> (double) c.generation()).orElse(0.0));
    gauge(
        registry,
        control,
        "oleanderstep.ready",
        "1 while callers may be sent here",
        s -> s.ready() ? 1 : 0);
    gauge(
        registry,
        control,
        "oleanderstep.configuration.trusted",
        "1 while the configuration is trusted",
        s -> s.trusted() ? 1 : 0);
    gauge(
        registry,
        control,
        "oleanderstep.shares.vms",
        "VMs that hold a share of the rates",
        ControlSnapshot::vmCount);
    gauge(
        registry,
        control,
        "oleanderstep.databases.without.primary",
        "databases whose primary is not known",
        s -> s.groups().values().stream().filter(g -> g.primary().isEmpty()).count());
  }

  private static void gauge(
      MeterRegistry registry,
      ControlPlane control,
      String name,
      String description,
      ToDoubleFunction<ControlSnapshot> value) {
    Gauge.builder(name, control, c -> value.applyAsDouble(c.snapshot()))
        .description(description)
        .register(registry);
  }
}
