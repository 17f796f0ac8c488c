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

/** Calls to other proxies. */
public final class PeerCalls {

  /** Time for calls whose answer is small; a peer that takes longer is as good as silent. */
  private static final Duration SHORT = Duration.ofMillis(500);

  /** Time for calls that carry a whole configuration. */
  private static final Duration LONG = Duration.ofSeconds(2);

  /** Time for a planned change of a primary. */
  private static final Duration FAILOVER = Duration.ofSeconds(15);

  private final Channels channels;

  /** Creates calls over channels to peers. */
  public PeerCalls(Channels channels) {
    this.channels = channels;
  }

  /** Exchanges digests. */
  public CompletableFuture<Digest> exchange(String address, Digest digest) {
    return Futures.track(peer(address, SHORT).exchange(digest), channels, address);
  }

  /** Pulls the configuration if the peer has a higher generation. */
  public CompletableFuture<GetConfigurationReply> getConfiguration(String address, long held) {
    GetConfigurationRequest request =
        GetConfigurationRequest.newBuilder().setHeldGeneration(held).build();
    return Futures.track(peer(address, LONG).getConfiguration(request), channels, address);
  }

  /** Pulls the share table. */
  public CompletableFuture<ShareTable> getShares(String address) {
    return Futures.track(
        peer(address, SHORT).getShares(GetSharesRequest.getDefaultInstance()), channels, address);
  }

  /** Pulls the platform's list of VMs. */
  public CompletableFuture<VmList> getVmList(String address) {
    return Futures.track(
        peer(address, SHORT).getVmList(GetVmListRequest.getDefaultInstance()), channels, address);
  }

  /** Asks for tokens. */
  public CompletableFuture<TransferTokensReply> transferTokens(
      String address, TransferTokensRequest request) {
    return Futures.track(peer(address, SHORT).transferTokens(request), channels, address);
  }

  /** Confirms that tokens arrived in time. */
  public CompletableFuture<ConfirmTransferReply> confirmTransfer(
      String address, ConfirmTransferRequest request) {
    return Futures.track(peer(address, SHORT).confirmTransfer(request), channels, address);
  }

  /** Asks a proxy for its status. */
  public CompletableFuture<ProxyStatus> status(String address) {
    return Futures.track(
        admin(address, LONG).status(StatusRequest.getDefaultInstance()), channels, address);
  }

  /** Tells a proxy to stop new work and to let work in flight finish. */
  public CompletableFuture<DrainReply> drain(String address, DrainRequest request) {
    return Futures.track(admin(address, LONG).drain(request), channels, address);
  }

  /** Tells a proxy to move the primary of a database; completes when the change has ended. */
  public CompletableFuture<FailoverReply> failover(String address, FailoverRequest request) {
    return Futures.track(admin(address, FAILOVER).failover(request), channels, address);
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
