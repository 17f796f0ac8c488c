package org.oleanderstep.proxy.internal.control;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.proxy.internal.convert.DurationConverter;
import org.oleanderstep.schema.v1.AdminGrpc;
import org.oleanderstep.schema.v1.DrainReply;
import org.oleanderstep.schema.v1.DrainRequest;
import org.oleanderstep.schema.v1.FailoverReply;
import org.oleanderstep.schema.v1.FailoverRequest;
import org.oleanderstep.schema.v1.ProxyStatus;
import org.oleanderstep.schema.v1.StatusRequest;

/** Implements the gRPC service for operators; calls run on the control thread. */
public final class AdminService extends AdminGrpc.AdminImplBase {

  private final ControlThread control;

  /** Creates the service; it responds to calls once the control thread runs. */
  public AdminService(ControlThread control) {
    this.control = control;
  }

  @Override
  public void status(StatusRequest request, StreamObserver<ProxyStatus> observer) {
    GrpcResponses.respond(control.loop(), observer, control::status);
  }

  @Override
  public void drain(DrainRequest request, StreamObserver<DrainReply> observer) {
    Optional<Duration> time =
        request.hasDrainTime()
            ? Optional.of(DurationConverter.toCore(request.getDrainTime()))
            : Optional.empty();
    control.requestDrain(time);
    observer.onNext(DrainReply.getDefaultInstance());
    observer.onCompleted();
  }

  @Override
  public void failover(FailoverRequest request, StreamObserver<FailoverReply> observer) {
    control.loop().post(() -> startFailover(request, observer));
  }

  private void startFailover(FailoverRequest request, StreamObserver<FailoverReply> observer) {
    Optional<GroupMonitor> monitor =
        request.getService().isBlank() || request.getDatabase().isBlank()
            ? Optional.empty()
            : control
                .groupMonitors()
                .monitor(new DatabaseId(request.getService(), request.getDatabase()));
    if (monitor.isEmpty()) {
      observer.onError(
          Status.NOT_FOUND
              .withDescription(
                  "no database "
                      + request.getService()
                      + "/"
                      + request.getDatabase()
                      + " is declared")
              .asRuntimeException());
      return;
    }
    Optional<MemberId> to =
        request.getMember().isEmpty()
            ? Optional.empty()
            : Optional.of(new MemberId(request.getMember()));
    CompletableFuture<GroupMonitor.SwitchoverResult> switchover =
        monitor.get().requestSwitchover(to);
    CompletableFuture<GroupMonitor.SwitchoverResult> unused =
        switchover.whenComplete((result, failure) -> respond(result, failure, observer));
  }

  private static void respond(
      GroupMonitor.SwitchoverResult result,
      Throwable failure,
      StreamObserver<FailoverReply> observer) {
    if (failure != null) {
      observer.onError(Status.ABORTED.withDescription(failure.getMessage()).asRuntimeException());
      return;
    }
    observer.onNext(
        FailoverReply.newBuilder()
            .setDone(result.changed())
            .setTerm(result.term())
            .setPrimary(result.primary().map(MemberId::name).orElse(""))
            .setDetail(result.detail())
            .build());
    observer.onCompleted();
  }
}
