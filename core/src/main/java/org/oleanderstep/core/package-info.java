/** Decisions of the proxy, free of sockets, threads and system clocks. */
package org.oleanderstep.core;
