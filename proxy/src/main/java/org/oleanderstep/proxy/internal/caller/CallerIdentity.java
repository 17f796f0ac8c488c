package org.oleanderstep.proxy.internal.caller;

import java.util.Optional;
import org.oleanderstep.core.configuration.Key;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.routing.ReadRule;

/**
 * For whom a call runs, and under which rules.
 *
 * @param key key of the call, empty on a route that is open to all
 * @param limited whether the organisation's rate counts
 */
record CallerIdentity(
    OrganisationId organisation,
    Optional<Key> key,
    boolean limited,
    boolean requestIdRequired,
    ReadRule readRule) {}
