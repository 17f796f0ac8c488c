/** Decides when to replace the primary of a service, and by which member. */
package org.oleanderstep.gateway.failover;
