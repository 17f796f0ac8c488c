/**
 * Entry point of the proxy.
 *
 * <pre>{@code
 * try (ProxyServer proxy = ProxyServer.from(Path.of("proxy.json")).start()) {
 *   proxy.awaitStopped();
 * }
 * }</pre>
 */
package org.oleanderstep.proxy;
