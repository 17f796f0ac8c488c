package org.oleanderstep.core.failover;

import java.time.Duration;
import java.util.Optional;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * What a member reports of itself.
 *
 * @param incarnation random for each start and each rebuild of the member's data; knowledge about
 *     positions holds within one incarnation only
 * @param term term in which the member has its role
 * @param promisedTerm highest term that the member promised to a candidate
 * @param primarySilence time since the member last heard from the primary; zero on the primary
 * @param hasMajority on a primary, whether a majority of members acknowledged it lately
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
