/**
 * Deterministic simulation of a database group with its proxies and sessions, and a checker that
 * searches the recorded history for violated invariants.
 */
package org.oleanderstep.core.simulation;
