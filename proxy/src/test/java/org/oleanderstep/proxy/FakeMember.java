package org.oleanderstep.proxy;

import com.google.protobuf.util.Durations;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.oleanderstep.schema.v1.FenceReply;
import org.oleanderstep.schema.v1.FenceRequest;
import org.oleanderstep.schema.v1.GroupControlGrpc;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.MemberStatusRequest;
import org.oleanderstep.schema.v1.Position;
import org.oleanderstep.schema.v1.PromoteReply;
import org.oleanderstep.schema.v1.PromoteRequest;
import org.oleanderstep.schema.v1.Role;

/**
 * A group member without data. Its control port accepts and rejects fence and promote requests by
 * term, as a real member does.
 */
final class FakeMember extends GroupControlGrpc.GroupControlImplBase implements AutoCloseable {

  private final Server server;
  private MemberStatus status;
  private long lastHeardNanos = System.nanoTime();
  private boolean hearsPrimary = true;
  private int statusRequests;

  FakeMember(String name, String primary) {
    status =
        MemberStatus.newBuilder()
            .setMember(name)
            .setIncarnation(name + "-1")
            .setRole(name.equals(primary) ? Role.PRIMARY : Role.REPLICA)
            .setTerm(1)
            .setPromisedTerm(1)
            .setReceived(Position.newBuilder().setTerm(1).setIndex(7))
            .setApplied(Position.newBuilder().setTerm(1).setIndex(7))
            .setHasMajority(name.equals(primary))
            .setPrimary(primary)
            .build();
    try {
      server =
          NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .directExecutor()
              .addService(this)
              .build()
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  String name() {
    return status.getMember();
  }

  String address() {
    return "127.0.0.1:" + server.getPort();
  }

  synchronized boolean isPrimary() {
    return status.getRole() == Role.PRIMARY;
  }

  synchronized long term() {
    return status.getTerm();
  }

  synchronized void setApplied(long index) {
    Position position = status.getApplied().toBuilder().setIndex(index).build();
    status = status.toBuilder().setApplied(position).setReceived(position).build();
  }

  /** Makes the member the primary, as if another proxy had promoted it. */
  synchronized void becomePrimary(long term, long index) {
    Position position = Position.newBuilder().setTerm(term).setIndex(index).build();
    status =
        status.toBuilder()
            .setRole(Role.PRIMARY)
            .setTerm(term)
            .setPromisedTerm(term)
            .setPrimary(status.getMember())
            .setApplied(position)
            .setReceived(position)
            .setHasMajority(true)
            .build();
  }

  /** Sets the promised term, as if another proxy had fenced the member. */
  synchronized void setPromisedTerm(long term) {
    status = status.toBuilder().setPromisedTerm(term).build();
  }

  synchronized int statusRequests() {
    return statusRequests;
  }

  /** Makes a replica report that it no longer hears from its primary. */
  synchronized void stopHearingFromPrimary() {
    hearsPrimary = false;
    lastHeardNanos = System.nanoTime();
  }

  private MemberStatus currentStatus() {
    boolean primary = status.getRole() == Role.PRIMARY;
    long silence = primary || hearsPrimary ? 0 : System.nanoTime() - lastHeardNanos;
    return status.toBuilder().setPrimarySilence(Durations.fromNanos(silence)).build();
  }

  @Override
  public void status(MemberStatusRequest request, StreamObserver<MemberStatus> observer) {
    MemberStatus report;
    synchronized (this) {
      statusRequests++;
      report = currentStatus();
    }
    observer.onNext(report);
    observer.onCompleted();
  }

  @Override
  public void fence(FenceRequest request, StreamObserver<FenceReply> observer) {
    FenceReply reply;
    synchronized (this) {
      boolean repeated =
          request.getTerm() == status.getPromisedTerm()
              && request.getCandidate().equals(status.getPromisedCandidate());
      boolean accepted = repeated || request.getTerm() > status.getPromisedTerm();
      if (accepted) {
        status =
            status.toBuilder()
                .setPromisedTerm(request.getTerm())
                .setPromisedCandidate(request.getCandidate())
                .build();
      }
      reply = FenceReply.newBuilder().setAccepted(accepted).setStatus(currentStatus()).build();
    }
    observer.onNext(reply);
    observer.onCompleted();
  }

  @Override
  public void promote(PromoteRequest request, StreamObserver<PromoteReply> observer) {
    PromoteReply reply;
    synchronized (this) {
      boolean accepted =
          request.getTerm() == status.getPromisedTerm()
              && request.getCandidate().equals(status.getPromisedCandidate());
      if (accepted) {
        status =
            status.toBuilder()
                .setRole(Role.PRIMARY)
                .setTerm(request.getTerm())
                .setPrimary(status.getMember())
                .setHasMajority(true)
                .build();
      }
      reply = PromoteReply.newBuilder().setAccepted(accepted).setStatus(currentStatus()).build();
    }
    observer.onNext(reply);
    observer.onCompleted();
  }

  @Override
  public void close() {
    server.shutdownNow();
  }
}
