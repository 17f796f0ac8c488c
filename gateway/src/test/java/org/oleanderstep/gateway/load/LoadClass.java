package org.oleanderstep.gateway.load;

import java.time.Duration;
import org.oleanderstep.gateway.control.GatewayRoute;
import org.oleanderstep.gateway.control.RouteKind;
import org.oleanderstep.gateway.session.StatementKind;

/** The kinds of load of a customer, and what their callers expect. */
enum LoadClass {
  URGENT(88, 3, RouteKind.PRIMARY, StatementKind.WRITE, 800, 101, 606, 0),
  BULK(413, 9, RouteKind.READ_YOUR_WRITES, StatementKind.READ, 800, 201, 603, 1),
  TOLERANT(153, 15, RouteKind.BOUNDED_STALENESS, StatementKind.READ, 1_200, 601, 1_503, 2);

  final double share;
  final double workMillis;
  final StatementKind kind;
  final long targetNanos;
  final long limitNanos;
  private final RouteKind routeKind;
  private final long timeoutMillis;
  private final int priority;

  LoadClass(
      double perSecond,
      double workMillis,
      RouteKind routeKind,
      StatementKind kind,
      long timeoutMillis,
      long targetMillis,
      long limitMillis,
      int priority) {
    share = perSecond / 654;
    this.workMillis = workMillis;
    this.kind = kind;
    targetNanos = targetMillis * 1_000_000;
    limitNanos = limitMillis * 1_000_000;
    this.routeKind = routeKind;
    this.timeoutMillis = timeoutMillis;
    this.priority = priority;
  }

  GatewayRoute route() {
    return new GatewayRoute(
        name(),
        name(),
        "main",
        routeKind,
        Duration.ofMillis(1_500),
        Duration.ofMillis(timeoutMillis),
        Duration.ofNanos(targetNanos),
        priority,
        false);
  }
}
