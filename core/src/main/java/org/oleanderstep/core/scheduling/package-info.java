/**
 * Sharing the connections and slots of targets between organisations, and the end of work on a
 * target or process that leaves.
 */
package org.oleanderstep.core.scheduling;
