/** Seeded simulation of a database group with its proxies and sessions, and a history checker. */
package org.oleanderstep.core.simulation;
