/** Serves callers: Avatica over HTTP, authentication, sessions, statements and transactions. */
package org.oleanderstep.proxy.internal.caller;
