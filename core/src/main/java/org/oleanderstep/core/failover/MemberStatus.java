package org.oleanderstep.core.failover;

import java.time.Duration;
import java.util.Optional;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * The state that a member reports about itself.
 *
 * @param incarnation random identifier, new at each start and at each rebuild of the member's data;
 *     positions observed in one incarnation say nothing about another
 * @param term term in which the member has its role
 * @param promisedTerm highest term that the member promised to a candidate
 * @param primarySilence time since the member last heard from the primary; zero on the primary
 * @param hasMajority on a primary, whether a majority of the members recently acknowledged its
 *     entries
 */
public record MemberStatus(
    MemberId member,
    String incarnation,
    MemberRole role,
    long term,
    long promisedTerm,
    String promisedCandidate,
    LogPosition received,
    LogPosition applied,
    Duration primarySilence,
    boolean hasMajority,
    boolean leaving,
    Optional<MemberId> primary) {}
