/** The side of callers: Avatica over HTTP, keys, sessions, statements and transactions. */
package org.oleanderstep.proxy.internal.caller;
