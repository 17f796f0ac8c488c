package org.oleanderstep.proxy.internal.caller;

import java.util.Optional;
import org.oleanderstep.core.configuration.Key;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.routing.ReadRule;

/**
 * The organisation that a call runs for, and the rules of its route.
 *
 * @param key key of the call; empty on a route that needs no key
 * @param rateLimited whether the call counts against the organisation's rate
 */
record CallerIdentity(
    OrganisationId organisation,
    Optional<Key> key,
    boolean rateLimited,
    boolean requestIdRequired,
    ReadRule readRule) {}
