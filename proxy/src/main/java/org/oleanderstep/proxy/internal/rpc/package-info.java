/** gRPC between proxies, and from proxies to the control ports of members. */
package org.oleanderstep.proxy.internal.rpc;
