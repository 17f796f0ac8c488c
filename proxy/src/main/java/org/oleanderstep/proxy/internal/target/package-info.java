/**
 * Connections to database members: routing of requests, connection pools, queues with deadlines,
 * and the table of request ids.
 */
package org.oleanderstep.proxy.internal.target;
