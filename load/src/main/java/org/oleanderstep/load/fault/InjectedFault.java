package org.oleanderstep.load.fault;

import org.oleanderstep.schema.v1.Fault;

/**
 * A fault that took effect.
 *
 * @param process process that it hit, after names such as "primary/..." were resolved
 * @param atNs time since the start of the run
 */
public record InjectedFault(Fault fault, String process, long atNs) {}
