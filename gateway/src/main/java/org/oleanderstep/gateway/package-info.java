/**
 * Serves many caller sessions over a small number of shared database connections.
 *
 * <p>The gateway works on typed statements and replies; adapters encode and decode them. Sessions,
 * pools and queues run on the traffic thread; failover decisions are made on the control thread.
 */
package org.oleanderstep.gateway;
