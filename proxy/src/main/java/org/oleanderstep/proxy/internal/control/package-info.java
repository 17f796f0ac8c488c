/**
 * The control side of a proxy: one thread owns all control state and publishes immutable snapshots.
 *
 * <p>{@link org.oleanderstep.proxy.internal.control.ControlThread} puts the parts together. Every
 * part is confined to the thread of {@link org.oleanderstep.proxy.internal.control.ControlLoop};
 * answers from the network are handed to it through a queue. The decisions are those of the core.
 */
package org.oleanderstep.proxy.internal.control;
