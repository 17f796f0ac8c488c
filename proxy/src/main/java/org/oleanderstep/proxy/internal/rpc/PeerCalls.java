package org.oleanderstep.proxy.internal.rpc;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oleanderstep.schema.v1.AdminGrpc;
import org.oleanderstep.schema.v1.ConfirmTransferReply;
import org.oleanderstep.schema.v1.ConfirmTransferRequest;
import org.oleanderstep.schema.v1.Digest;
import org.oleanderstep.schema.v1.DrainReply;
import org.oleanderstep.schema.v1.DrainRequest;
import org.oleanderstep.schema.v1.FailoverReply;
import org.oleanderstep.schema.v1.FailoverRequest;
import org.oleanderstep.schema.v1.GetConfigurationReply;
import org.oleanderstep.schema.v1.GetConfigurationRequest;
import org.oleanderstep.schema.v1.GetSharesRequest;
import org.oleanderstep.schema.v1.GetVmListRequest;
import org.oleanderstep.schema.v1.PeerGrpc;
import org.oleanderstep.schema.v1.ProxyStatus;
import org.oleanderstep.schema.v1.ShareTable;
import org.oleanderstep.schema.v1.StatusRequest;
import org.oleanderstep.schema.v1.TransferTokensReply;
import org.oleanderstep.schema.v1.TransferTokensRequest;
import org.oleanderstep.schema.v1.VmList;

/** Client for other proxies. */
public final class PeerCalls {

  /** Deadline of calls with a small response; a slower peer is treated as unreachable. */
  private static final Duration SHORT_DEADLINE = Duration.ofMillis(500);

  /** Deadline of calls that may transfer a whole configuration, and of operator calls. */
  private static final Duration LONG_DEADLINE = Duration.ofSeconds(2);

  /** Deadline of a switchover. */
  private static final Duration FAILOVER_DEADLINE = Duration.ofSeconds(15);

  private final Channels channels;

  /** Creates a client that uses these channels. */
  public PeerCalls(Channels channels) {
    this.channels = channels;
  }

  /** Sends a digest and receives that of the peer. */
  public CompletableFuture<Digest> exchange(String address, Digest digest) {
    return GrpcFutures.track(peer(address, SHORT_DEADLINE).exchange(digest), channels, address);
  }

  /** Pulls the configuration if the peer has a higher generation. */
  public CompletableFuture<GetConfigurationReply> getConfiguration(
      String address, long currentGeneration) {
    GetConfigurationRequest request =
        GetConfigurationRequest.newBuilder().setHeldGeneration(currentGeneration).build();
    return GrpcFutures.track(
        peer(address, LONG_DEADLINE).getConfiguration(request), channels, address);
  }

  /** Pulls the share table. */
  public CompletableFuture<ShareTable> getShares(String address) {
    return GrpcFutures.track(
        peer(address, SHORT_DEADLINE).getShares(GetSharesRequest.getDefaultInstance()),
        channels,
        address);
  }

  /** Pulls the platform's list of VMs. */
  public CompletableFuture<VmList> getVmList(String address) {
    return GrpcFutures.track(
        peer(address, SHORT_DEADLINE).getVmList(GetVmListRequest.getDefaultInstance()),
        channels,
        address);
  }

  /** Requests tokens from a peer. */
  public CompletableFuture<TransferTokensReply> transferTokens(
      String address, TransferTokensRequest request) {
    return GrpcFutures.track(
        peer(address, SHORT_DEADLINE).transferTokens(request), channels, address);
  }

  /** Confirms that tokens arrived in time. */
  public CompletableFuture<ConfirmTransferReply> confirmTransfer(
      String address, ConfirmTransferRequest request) {
    return GrpcFutures.track(
        peer(address, SHORT_DEADLINE).confirmTransfer(request), channels, address);
  }

  /** Requests the status of a proxy. */
  public CompletableFuture<ProxyStatus> status(String address) {
    return GrpcFutures.track(
        admin(address, LONG_DEADLINE).status(StatusRequest.getDefaultInstance()),
        channels,
        address);
  }

  /** Requests that a proxy accepts no new work and completes the work in flight. */
  public CompletableFuture<DrainReply> drain(String address, DrainRequest request) {
    return GrpcFutures.track(admin(address, LONG_DEADLINE).drain(request), channels, address);
  }

  /** Requests a switchover of a database; completes when the switchover has ended. */
  public CompletableFuture<FailoverReply> failover(String address, FailoverRequest request) {
    return GrpcFutures.track(
        admin(address, FAILOVER_DEADLINE).failover(request), channels, address);
  }

  private PeerGrpc.PeerFutureStub peer(String address, Duration deadline) {
    return PeerGrpc.newFutureStub(channels.to(address))
        .withDeadlineAfter(deadline.toNanos(), TimeUnit.NANOSECONDS);
  }

  private AdminGrpc.AdminFutureStub admin(String address, Duration deadline) {
    return AdminGrpc.newFutureStub(channels.to(address))
        .withDeadlineAfter(deadline.toNanos(), TimeUnit.NANOSECONDS);
  }
}
