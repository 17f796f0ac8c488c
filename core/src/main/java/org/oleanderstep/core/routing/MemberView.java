package org.oleanderstep.core.routing;

import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * What a proxy knows of a member when it routes a statement.
 *
 * @param incarnation incarnation that the other parts hold for; empty while it is not known
 * @param applied last applied position known within the member's present incarnation
 * @param appliedPerSecond measured rate at which the member applies entries
 * @param outstanding statements of this proxy that run on the member
 * @param near whether the member is in the proxy's own failure domain
 * @param joining whether the member serves no statement, because it rebuilds its data or still acts
 *     as primary of an older term
 */
public record MemberView(
    MemberId member,
    String incarnation,
    LogPosition applied,
    double appliedPerSecond,
    int outstanding,
    boolean near,
    boolean reachable,
    boolean leaving,
    boolean joining) {}
