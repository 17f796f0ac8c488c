/**
 * Fair sharing of the connections and slots of targets between organisations, and the draining of a
 * target or process.
 */
package org.oleanderstep.core.scheduling;
