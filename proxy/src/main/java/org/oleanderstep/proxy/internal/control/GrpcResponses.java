package org.oleanderstep.proxy.internal.control;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.function.Supplier;

/** Completes gRPC calls with results that are computed on the control thread. */
final class GrpcResponses {

  private GrpcResponses() {}

  static <T> void respond(ControlLoop loop, StreamObserver<T> observer, Supplier<T> work) {
    loop.post(
        () -> {
          T result;
          try {
            result = work.get();
          } catch (IllegalArgumentException e) {
            observer.onError(
                Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
          }
          observer.onNext(result);
          observer.onCompleted();
        });
  }
}
