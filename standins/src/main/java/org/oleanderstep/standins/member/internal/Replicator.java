package org.oleanderstep.standins.member.internal;

import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import java.util.concurrent.TimeUnit;
import org.oleanderstep.schema.v1.AppendReply;
import org.oleanderstep.schema.v1.AppendRequest;
import org.oleanderstep.schema.v1.GroupControlGrpc;

/** Sends log entries and heartbeats to one replica while this member is primary. */
final class Replicator implements Runnable {

  private static final long CALL_TIMEOUT_MILLIS = 500;

  private final ReplicationState state;
  private final String peer;
  private final ManagedChannel channel;
  private final GroupControlGrpc.GroupControlBlockingStub stub;

  Replicator(ReplicationState state, String peer, ManagedChannel channel) {
    this.state = state;
    this.peer = peer;
    this.channel = channel;
    this.stub = GroupControlGrpc.newBlockingStub(channel);
  }

  @Override
  public void run() {
    try {
      AppendRequest request = state.awaitAppend(peer);
      while (request != null) {
        send(request);
        request = state.awaitAppend(peer);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void send(AppendRequest request) {
    long sentNanos = System.nanoTime();
    try {
      AppendReply reply =
          stub.withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).append(request);
      state.appended(peer, request, reply, sentNanos);
    } catch (StatusRuntimeException e) {
      // gRPC would otherwise wait up to two minutes before it connects to a restarted member.
      channel.resetConnectBackoff();
      state.appendFailed(peer);
    }
  }
}
