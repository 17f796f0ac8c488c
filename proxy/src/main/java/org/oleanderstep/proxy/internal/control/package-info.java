/**
 * The control plane of a proxy: one thread owns all control state and publishes immutable
 * snapshots.
 *
 * <p>{@link org.oleanderstep.proxy.internal.control.ControlThread} wires the components. Each of
 * them is confined to the thread of {@link org.oleanderstep.proxy.internal.control.ControlLoop};
 * network responses reach that thread through a queue. The decisions themselves are made by the
 * core module.
 */
package org.oleanderstep.proxy.internal.control;
