/** Servers of a proxy other than the one for callers: gRPC, and the page with metrics. */
package org.oleanderstep.proxy.internal.server;
