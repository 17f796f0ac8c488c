package org.oleanderstep.load.fleet;

/**
 * A proxy of the fleet.
 *
 * @param callerAddress host:port for callers
 * @param peerAddress host:port for other proxies and operators
 * @param metricsAddress host:port of the page with metrics and readiness
 */
public record ProxyNode(
    String vm,
    ManagedProcess process,
    String callerAddress,
    String peerAddress,
    String metricsAddress) {}
