package org.oleanderstep.proxy.internal.rpc;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import java.util.concurrent.CompletableFuture;

/** Converts the futures of gRPC stubs to {@link CompletableFuture}. */
final class GrpcFutures {

  private GrpcFutures() {}

  /** Returns a future that completes with the call, and reports its outcome to the channels. */
  static <T> CompletableFuture<T> track(
      ListenableFuture<T> call, Channels channels, String address) {
    CompletableFuture<T> result = new CompletableFuture<>();
    com.google.common.util.concurrent.Futures.addCallback(
        call,
        new FutureCallback<T>() {
          @Override
          public void onSuccess(T value) {
            channels.reportSuccess(address);
            result.complete(value);
          }

          @Override
          public void onFailure(Throwable failure) {
            channels.reportFailure(address, failure);
            result.completeExceptionally(failure);
          }
        },
        MoreExecutors.directExecutor());
    return result;
  }
}
