/**
 * Interface between the control plane of a proxy, which owns the control state, and its traffic
 * plane, which serves callers.
 */
package org.oleanderstep.proxy.internal.traffic;
