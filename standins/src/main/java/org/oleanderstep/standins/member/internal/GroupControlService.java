package org.oleanderstep.standins.member.internal;

import com.google.protobuf.util.Durations;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import org.oleanderstep.schema.v1.AppendReply;
import org.oleanderstep.schema.v1.AppendRequest;
import org.oleanderstep.schema.v1.ConfigureReply;
import org.oleanderstep.schema.v1.ConfigureRequest;
import org.oleanderstep.schema.v1.FenceReply;
import org.oleanderstep.schema.v1.FenceRequest;
import org.oleanderstep.schema.v1.GroupControlGrpc;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.MemberStatusRequest;
import org.oleanderstep.schema.v1.PromoteReply;
import org.oleanderstep.schema.v1.PromoteRequest;

/** Serves the control port. */
final class GroupControlService extends GroupControlGrpc.GroupControlImplBase {

  private final ReplicationState state;

  GroupControlService(ReplicationState state) {
    this.state = state;
  }

  @Override
  public void status(MemberStatusRequest request, StreamObserver<MemberStatus> observer) {
    answer(observer, state.status());
  }

  @Override
  public void fence(FenceRequest request, StreamObserver<FenceReply> observer) {
    boolean accepted = state.fence(request.getTerm(), request.getCandidate());
    answer(
        observer, FenceReply.newBuilder().setAccepted(accepted).setStatus(state.status()).build());
  }

  @Override
  public void promote(PromoteRequest request, StreamObserver<PromoteReply> observer) {
    boolean accepted = state.promote(request.getTerm(), request.getCandidate());
    answer(
        observer,
        PromoteReply.newBuilder().setAccepted(accepted).setStatus(state.status()).build());
  }

  @Override
  public void append(AppendRequest request, StreamObserver<AppendReply> observer) {
    if (state.isCut(request.getPrimary())) {
      observer.onError(
          Status.UNAVAILABLE.withDescription("traffic of this member is cut").asException());
      return;
    }
    answer(observer, state.append(request));
  }

  @Override
  public void configure(ConfigureRequest request, StreamObserver<ConfigureReply> observer) {
    if (request.hasApplyLag()) {
      state.setApplyLag(Duration.ofNanos(Durations.toNanos(request.getApplyLag())));
    }
    if (request.hasLeaving()) {
      state.setLeaving(request.getLeaving());
    }
    if (request.getSetCutMembers()) {
      state.setCutMembers(request.getCutMembersList());
    }
    if (request.hasApplyStopped()) {
      state.setApplyStopped(request.getApplyStopped());
    }
    answer(observer, ConfigureReply.getDefaultInstance());
  }

  private static <T> void answer(StreamObserver<T> observer, T value) {
    observer.onNext(value);
    observer.onCompleted();
  }
}
