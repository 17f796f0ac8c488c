package org.oleanderstep.proxy.internal.convert;

import java.util.Optional;
import org.oleanderstep.core.failover.MemberRole;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.model.MemberId;

/** Converts statuses of members. */
public final class MemberStatusConverter {

  private MemberStatusConverter() {}

  /**
   * Returns the status of a message.
   *
   * @param listedLeaving whether the platform lists the member's VM as leaving
   * @throws IllegalArgumentException if the message lacks a name or a role
   */
  public static MemberStatus toCore(
      org.oleanderstep.schema.v1.MemberStatus status, boolean listedLeaving) {
    return new MemberStatus(
        new MemberId(status.getMember()),
        status.getIncarnation(),
        role(status),
        status.getTerm(),
        status.getPromisedTerm(),
        status.getPromisedCandidate(),
        PositionConverter.toCore(status.getReceived()),
        PositionConverter.toCore(status.getApplied()),
        DurationConverter.toCore(status.getPrimarySilence()),
        status.getHasMajority(),
        status.getLeaving() || listedLeaving,
        status.getPrimary().isEmpty()
            ? Optional.empty()
            : Optional.of(new MemberId(status.getPrimary())));
  }

  private static MemberRole role(org.oleanderstep.schema.v1.MemberStatus status) {
    return switch (status.getRole()) {
      case PRIMARY -> MemberRole.PRIMARY;
      case REPLICA -> MemberRole.REPLICA;
      case JOINING -> MemberRole.JOINING;
      case ROLE_UNSPECIFIED, UNRECOGNIZED ->
          throw new IllegalArgumentException("member " + status.getMember() + " reports no role");
    };
  }
}
