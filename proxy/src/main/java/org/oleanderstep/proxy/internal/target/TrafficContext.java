package org.oleanderstep.proxy.internal.target;

import java.time.Duration;
import java.util.concurrent.Executor;
import org.oleanderstep.proxy.internal.traffic.ControlPlane;
import org.oleanderstep.proxy.internal.traffic.TrafficMetrics;
import org.oleanderstep.proxy.internal.traffic.TrafficSettings;

/**
 * Dependencies that the classes of the traffic plane share.
 *
 * @param workers runs blocking JDBC calls
 */
public record TrafficContext(
    ControlPlane control,
    TrafficSettings settings,
    TargetAccount account,
    Executor workers,
    Scheduler scheduler,
    TrafficMetrics metrics) {

  /** Runs short, non-blocking work after a delay. */
  public interface Scheduler {

    /** Runs the work once, after at least the delay. */
    void after(Duration delay, Runnable work);
  }
}
