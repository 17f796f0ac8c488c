/**
 * The interface between the control side of a proxy, which owns all control state, and its traffic
 * side, which serves callers.
 */
package org.oleanderstep.proxy.internal.traffic;
