package org.oleanderstep.gateway.control;

import java.time.Duration;

/**
 * A route: how the gateway serves the sessions of one database name.
 *
 * @param name name of the route
 * @param database the database name that callers connect to
 * @param service the service that executes the statements
 * @param kind the consistency of reads
 * @param maxStaleness maximum age of the state that a read may return, for kinds that read from
 *     replicas
 * @param timeout time limit of a single statement
 * @param targetLatency the operator's latency objective for an operation
 * @param priority lower values are served first; 0 is the highest priority
 * @param allowsAnonymous whether callers may connect without a key
 */
public record GatewayRoute(
    String name,
    String database,
    String service,
    RouteKind kind,
    Duration maxStaleness,
    Duration timeout,
    Duration targetLatency,
    int priority,
    boolean allowsAnonymous) {}
