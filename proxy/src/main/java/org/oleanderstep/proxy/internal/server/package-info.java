/**
 * Servers of a proxy other than the one for callers: gRPC for peers and operators, HTTP for
 * metrics.
 */
package org.oleanderstep.proxy.internal.server;
