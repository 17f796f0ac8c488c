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

/** Calls to control ports of members. */
public final class MemberCalls {

  private final Channels channels;

  /** Creates calls over channels without TLS. */
  public MemberCalls(Channels channels) {
    this.channels = channels;
  }

  /** Asks a member for its status. */
  public CompletableFuture<MemberStatus> status(String address, Duration deadline) {
    return Futures.track(
        stub(address, deadline).status(MemberStatusRequest.getDefaultInstance()),
        channels,
        address);
  }

  /** Asks a member to promise a term. */
  public CompletableFuture<FenceReply> fence(
      String address, long term, String candidate, Duration deadline) {
    FenceRequest request = FenceRequest.newBuilder().setTerm(term).setCandidate(candidate).build();
    return Futures.track(stub(address, deadline).fence(request), channels, address);
  }

  /** Orders a member to become primary of a term. */
  public CompletableFuture<PromoteReply> promote(
      String address, long term, String candidate, Duration deadline) {
    PromoteRequest request =
        PromoteRequest.newBuilder().setTerm(term).setCandidate(candidate).build();
    return Futures.track(stub(address, deadline).promote(request), channels, address);
  }

  private GroupControlGrpc.GroupControlFutureStub stub(String address, Duration deadline) {
    return GroupControlGrpc.newFutureStub(channels.to(address))
        .withDeadlineAfter(deadline.toNanos(), TimeUnit.NANOSECONDS);
  }
}
