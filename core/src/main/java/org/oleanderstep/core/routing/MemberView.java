package org.oleanderstep.core.routing;

import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * State of a member as known to this proxy, on which it bases the routing of statements.
 *
 * @param incarnation incarnation that the other components describe; empty if it is not known
 * @param applied highest applied position known for the current incarnation
 * @param appliedPerSecond measured rate at which the member applies log entries
 * @param outstanding statements that this proxy has sent to the member without a response yet
 * @param sameFailureDomain whether the member is in the failure domain of this proxy
 * @param joining whether the member cannot serve statements, because it rebuilds its data or still
 *     acts as the primary of an earlier term
 */
public record MemberView(
    MemberId member,
    String incarnation,
    LogPosition applied,
    double appliedPerSecond,
    int outstanding,
    boolean sameFailureDomain,
    boolean reachable,
    boolean leaving,
    boolean joining) {}
