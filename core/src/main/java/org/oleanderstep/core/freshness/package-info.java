/** Ages that include suspensions, and the log positions that reads of bounded staleness require. */
package org.oleanderstep.core.freshness;
