/** Decision logic of the proxy, without sockets, threads or system clocks. */
package org.oleanderstep.core;
