/** Detection of failed primaries, fencing by term, and promotion. */
package org.oleanderstep.core.failover;
