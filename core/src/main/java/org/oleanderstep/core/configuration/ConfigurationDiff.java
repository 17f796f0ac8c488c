package org.oleanderstep.core.configuration;

import java.util.Set;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;

/**
 * What changed between two generations.
 *
 * @param fromGeneration generation held before, zero for none
 * @param keysWithdrawn keys that were accepted before and are not now: withdrawn, removed, given
 *     another secret or moved to another organisation
 * @param keysAdded keys that are accepted now and were not before
 * @param organisationsChanged organisations whose rate or burst changed
 * @param membersChanged members of both generations with other addresses or another database
 * @param databasesChanged databases of both generations with other members or limits
 * @param routesChanged names of routes that were added, removed or changed
 */
public record ConfigurationDiff(
    long fromGeneration,
    long toGeneration,
    Set<String> keysWithdrawn,
    Set<String> keysAdded,
    Set<OrganisationId> organisationsAdded,
    Set<OrganisationId> organisationsRemoved,
    Set<OrganisationId> organisationsChanged,
    Set<MemberId> membersAdded,
    Set<MemberId> membersRemoved,
    Set<MemberId> membersChanged,
    Set<DatabaseId> databasesAdded,
    Set<DatabaseId> databasesRemoved,
    Set<DatabaseId> databasesChanged,
    Set<String> routesChanged) {}
