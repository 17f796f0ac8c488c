/** Faults of a scenario, injected at their times and undone afterwards. */
package org.oleanderstep.load.fault;
