package org.oleanderstep.proxy.internal.convert;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.oleanderstep.core.membership.PeerDigest;
import org.oleanderstep.core.membership.PeerState;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.schema.v1.Digest;
import org.oleanderstep.schema.v1.TokenLevel;

/** Converts digests of peers. */
public final class PeerConverter {

  private PeerConverter() {}

  /**
   * Returns the digest of a message.
   *
   * @throws IllegalArgumentException if the state of a peer lacks its VM
   */
  public static PeerDigest toCore(Digest digest) {
    return new PeerDigest(
        toCore(digest.getSender()),
        digest.getKnownList().stream().map(PeerConverter::toCore).toList());
  }

  /** Returns a builder for the message of a digest, without the states of databases. */
  public static Digest.Builder toProto(PeerDigest digest) {
    return Digest.newBuilder()
        .setSender(toProto(digest.sender()))
        .addAllKnown(digest.relayed().stream().map(PeerConverter::toProto).toList());
  }

  private static PeerState toCore(org.oleanderstep.schema.v1.PeerState state) {
    Map<OrganisationId, Double> tokens =
        state.getTokensList().stream()
            .collect(
                Collectors.toMap(
                    level -> new OrganisationId(level.getOrganisation()),
                    TokenLevel::getTokens,
                    (a, b) -> b));
    return new PeerState(
        new VmId(state.getVm()),
        state.getInstance(),
        state.getSequence(),
        state.getFailureDomain(),
        state.getPeerAddress(),
        state.getCallerAddress(),
        state.getConfigurationGeneration(),
        state.getSharesVersion(),
        state.hasPlatformContactAge()
            ? Optional.of(DurationConverter.toCore(state.getPlatformContactAge()))
            : Optional.empty(),
        DurationConverter.toCore(state.getAge()),
        state.getReady(),
        state.getLeaving(),
        tokens);
  }

  private static org.oleanderstep.schema.v1.PeerState toProto(PeerState state) {
    org.oleanderstep.schema.v1.PeerState.Builder message =
        org.oleanderstep.schema.v1.PeerState.newBuilder()
            .setVm(state.vm().name())
            .setInstance(state.instance())
            .setSequence(state.sequence())
            .setFailureDomain(state.failureDomain())
            .setPeerAddress(state.peerAddress())
            .setCallerAddress(state.callerAddress())
            .setConfigurationGeneration(state.configurationGeneration())
            .setSharesVersion(state.sharesVersion())
            .setAge(DurationConverter.toProto(state.age()))
            .setReady(state.ready())
            .setLeaving(state.leaving());
    state
        .platformContactAge()
        .ifPresent(age -> message.setPlatformContactAge(DurationConverter.toProto(age)));
    state
        .tokens()
        .forEach(
            (organisation, tokens) ->
                message.addTokens(
                    TokenLevel.newBuilder()
                        .setOrganisation(organisation.name())
                        .setTokens(tokens)));
    return message.build();
  }
}
