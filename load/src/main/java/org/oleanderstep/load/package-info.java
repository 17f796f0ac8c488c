/** Load tool: runs scenarios with faults on a fleet of real processes and judges the history. */
package org.oleanderstep.load;
