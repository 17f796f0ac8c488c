/** Detection of failed primaries, fencing by term, promotion, and planned switchovers. */
package org.oleanderstep.core.failover;
