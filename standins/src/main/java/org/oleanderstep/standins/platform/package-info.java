/**
 * Stand-in for the platform: an HTTP API with versioned objects, conditional updates, watches and a
 * lagging list of VMs.
 *
 * <pre>{@code
 * PlatformSettings settings = PlatformSettings.newBuilder().setAddress("127.0.0.1:0").build();
 * try (PlatformServer platform = PlatformServer.start(settings)) {
 *   URI url = platform.url();
 * }
 * }</pre>
 *
 * <p>It is meant for tests and the demo and has no access control.
 */
package org.oleanderstep.standins.platform;
