package org.oleanderstep.proxy.internal.control;

import io.grpc.stub.StreamObserver;
import org.oleanderstep.proxy.internal.convert.ShareTableConverter;
import org.oleanderstep.schema.v1.ConfirmTransferReply;
import org.oleanderstep.schema.v1.ConfirmTransferRequest;
import org.oleanderstep.schema.v1.Digest;
import org.oleanderstep.schema.v1.GetConfigurationReply;
import org.oleanderstep.schema.v1.GetConfigurationRequest;
import org.oleanderstep.schema.v1.GetSharesRequest;
import org.oleanderstep.schema.v1.GetVmListRequest;
import org.oleanderstep.schema.v1.PeerGrpc;
import org.oleanderstep.schema.v1.ShareTable;
import org.oleanderstep.schema.v1.TransferTokensReply;
import org.oleanderstep.schema.v1.TransferTokensRequest;
import org.oleanderstep.schema.v1.VmList;

/** Implements the gRPC service for other proxies; calls run on the control thread. */
public final class PeerService extends PeerGrpc.PeerImplBase {

  private final ControlThread control;

  /** Creates the service; it responds to calls once the control thread runs. */
  public PeerService(ControlThread control) {
    this.control = control;
  }

  @Override
  public void exchange(Digest request, StreamObserver<Digest> observer) {
    GrpcResponses.respond(control.loop(), observer, () -> control.peerGossip().onRequest(request));
  }

  @Override
  public void getConfiguration(
      GetConfigurationRequest request, StreamObserver<GetConfigurationReply> observer) {
    GrpcResponses.respond(
        control.loop(),
        observer,
        () -> {
          ConfigurationManager manager = control.configurationManager();
          GetConfigurationReply.Builder reply = GetConfigurationReply.newBuilder();
          if (manager.generation() > request.getHeldGeneration()) {
            reply.setConfiguration(manager.message());
          }
          return reply.build();
        });
  }

  @Override
  public void getShares(GetSharesRequest request, StreamObserver<ShareTable> observer) {
    GrpcResponses.respond(
        control.loop(),
        observer,
        () ->
            control
                .shareManager()
                .table()
                .map(ShareTableConverter::toProto)
                .orElse(ShareTable.getDefaultInstance()));
  }

  @Override
  public void getVmList(GetVmListRequest request, StreamObserver<VmList> observer) {
    GrpcResponses.respond(control.loop(), observer, () -> control.peerGossip().vmList());
  }

  @Override
  public void transferTokens(
      TransferTokensRequest request, StreamObserver<TransferTokensReply> observer) {
    GrpcResponses.respond(
        control.loop(), observer, () -> control.shareManager().onTransferRequest(request));
  }

  @Override
  public void confirmTransfer(
      ConfirmTransferRequest request, StreamObserver<ConfirmTransferReply> observer) {
    GrpcResponses.respond(
        control.loop(),
        observer,
        () -> {
          control.shareManager().onTransferConfirm(request);
          return ConfirmTransferReply.getDefaultInstance();
        });
  }
}
