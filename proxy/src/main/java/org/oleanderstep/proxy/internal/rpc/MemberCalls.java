package org.oleanderstep.proxy.internal.rpc;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oleanderstep.schema.v1.FenceReply;
import org.oleanderstep.schema.v1.FenceRequest;
import org.oleanderstep.schema.v1.GroupControlGrpc;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.MemberStatusRequest;
import org.oleanderstep.schema.v1.PromoteReply;
import org.oleanderstep.schema.v1.PromoteRequest;

/** Client for the control ports of members. */
public final class MemberCalls {

  private final Channels channels;

  /** Creates a client; the channels must be without TLS. */
  public MemberCalls(Channels channels) {
    this.channels = channels;
  }

  /** Requests the status of a member. */
  public CompletableFuture<MemberStatus> status(String address, Duration deadline) {
    return GrpcFutures.track(
        stub(address, deadline).status(MemberStatusRequest.getDefaultInstance()),
        channels,
        address);
  }

  /** Asks a member to promise a term. */
  public CompletableFuture<FenceReply> fence(
      String address, long term, String candidate, Duration deadline) {
    FenceRequest request = FenceRequest.newBuilder().setTerm(term).setCandidate(candidate).build();
    return GrpcFutures.track(stub(address, deadline).fence(request), channels, address);
  }

  /** Requests that a member becomes primary of a term. */
  public CompletableFuture<PromoteReply> promote(
      String address, long term, String candidate, Duration deadline) {
    PromoteRequest request =
        PromoteRequest.newBuilder().setTerm(term).setCandidate(candidate).build();
    return GrpcFutures.track(stub(address, deadline).promote(request), channels, address);
  }

  private GroupControlGrpc.GroupControlFutureStub stub(String address, Duration deadline) {
    return GroupControlGrpc.newFutureStub(channels.to(address))
        .withDeadlineAfter(deadline.toNanos(), TimeUnit.NANOSECONDS);
  }
}
