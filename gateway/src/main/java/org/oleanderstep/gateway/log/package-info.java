/** Structured, rate-limited log lines about decisions. */
package org.oleanderstep.gateway.log;
