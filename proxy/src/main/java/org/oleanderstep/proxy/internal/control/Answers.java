package org.oleanderstep.proxy.internal.control;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.function.Supplier;

/** Answers gRPC calls with results of the control thread. */
final class Answers {

  private Answers() {}

  static <T> void answer(ControlLoop loop, StreamObserver<T> observer, Supplier<T> work) {
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
