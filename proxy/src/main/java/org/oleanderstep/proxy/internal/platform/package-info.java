/**
 * Client of the platform: versioned objects with conditional updates and watches, and the list of
 * VMs.
 *
 * <p>All calls are asynchronous. A failed call completes its future with a {@link
 * org.oleanderstep.proxy.internal.platform.PlatformException}.
 */
package org.oleanderstep.proxy.internal.platform;
