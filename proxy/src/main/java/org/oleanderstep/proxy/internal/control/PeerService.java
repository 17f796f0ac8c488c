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

/** Serves calls of other proxies on the control thread. */
public final class PeerService extends PeerGrpc.PeerImplBase {

  private final ControlThread control;

  /** Creates the service; calls are answered once the control thread runs. */
  public PeerService(ControlThread control) {
    this.control = control;
  }

  @Override
  public void exchange(Digest request, StreamObserver<Digest> observer) {
    Answers.answer(control.loop(), observer, () -> control.gossipPart().onRequest(request));
  }

  @Override
  public void getConfiguration(
      GetConfigurationRequest request, StreamObserver<GetConfigurationReply> observer) {
    Answers.answer(
        control.loop(),
        observer,
        () -> {
          ConfigurationKeeper keeper = control.configurationPart();
          GetConfigurationReply.Builder reply = GetConfigurationReply.newBuilder();
          if (keeper.generation() > request.getHeldGeneration()) {
            reply.setConfiguration(keeper.message());
          }
          return reply.build();
        });
  }

  @Override
  public void getShares(GetSharesRequest request, StreamObserver<ShareTable> observer) {
    Answers.answer(
        control.loop(),
        observer,
        () ->
            control
                .sharePart()
                .table()
                .map(ShareTableConverter::toProto)
                .orElse(ShareTable.getDefaultInstance()));
  }

  @Override
  public void getVmList(GetVmListRequest request, StreamObserver<VmList> observer) {
    Answers.answer(control.loop(), observer, () -> control.gossipPart().vmList());
  }

  @Override
  public void transferTokens(
      TransferTokensRequest request, StreamObserver<TransferTokensReply> observer) {
    Answers.answer(control.loop(), observer, () -> control.sharePart().onTransferRequest(request));
  }

  @Override
  public void confirmTransfer(
      ConfirmTransferRequest request, StreamObserver<ConfirmTransferReply> observer) {
    Answers.answer(
        control.loop(),
        observer,
        () -> {
          control.sharePart().onTransferConfirm(request);
          return ConfirmTransferReply.getDefaultInstance();
        });
  }
}
