/**
 * The way of statements to database members: connections, queues, deadlines and the record of
 * request ids.
 */
package org.oleanderstep.proxy.internal.target;
