package org.oleanderstep.load.fleet;

import com.google.protobuf.util.Durations;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.oleanderstep.schema.v1.ConfigureRequest;
import org.oleanderstep.schema.v1.GroupControlGrpc;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.MemberStatusRequest;

/** Test access to the members of one database group, past all relays. */
public final class GroupAccess {

  private static final Duration CALL_LIMIT = Duration.ofSeconds(1);

  private final String database;
  private final List<MemberNode> nodes;
  private final Map<String, Long> parties;

  GroupAccess(String database, List<MemberNode> nodes, Map<String, Long> parties) {
    this.database = database;
    this.nodes = nodes;
    this.parties = parties;
  }

  /** Returns the name of the process of the primary of the highest term, if a member is one. */
  public Optional<String> primary() {
    return PrimaryLookup.find(statuses());
  }

  /** Returns the name of the process of the primary; empty if there is none within the limit. */
  public Optional<String> awaitPrimary(Duration limit) throws InterruptedException {
    return PrimaryLookup.await(this::statuses, limit, System::nanoTime);
  }

  /** Returns the status of each member that answers. */
  public List<MemberStatus> statuses() {
    List<MemberStatus> statuses = new ArrayList<>();
    for (MemberNode node : nodes) {
      call(node, stub -> stub.status(MemberStatusRequest.getDefaultInstance()))
          .ifPresent(statuses::add);
    }
    return statuses;
  }

  /** Sets the lag with which the replicas apply entries. */
  public void setApplyLag(Duration lag) {
    ConfigureRequest request =
        ConfigureRequest.newBuilder().setApplyLag(Durations.fromNanos(lag.toNanos())).build();
    nodes.forEach(node -> call(node, stub -> stub.configure(request)));
  }

  /** Marks a member as leaving, or takes the mark back. */
  public void setLeaving(String process, boolean leaving) {
    ConfigureRequest request = ConfigureRequest.newBuilder().setLeaving(leaving).build();
    call(node(process), stub -> stub.configure(request));
  }

  /** Cuts the member from the given processes, or from all when none is given. */
  public void cut(String process, Collection<String> from) {
    node(process).cut(partiesOrAll(from));
    cutOwnCalls(process, from, true);
  }

  /** Undoes {@link #cut}. */
  public void restore(String process, Collection<String> from) {
    node(process).restore(partiesOrAll(from));
    cutOwnCalls(process, from, false);
  }

  // Calls that the member makes itself arrive at the relays of the others.
  private void cutOwnCalls(String process, Collection<String> from, boolean cut) {
    Collection<String> others = partiesOrAll(from);
    for (MemberNode node : nodes) {
      if (others.contains(node.process().name())) {
        if (cut) {
          node.cut(List.of(process));
        } else {
          node.restore(List.of(process));
        }
      }
    }
  }

  private Collection<String> partiesOrAll(Collection<String> from) {
    return from.isEmpty() ? parties.keySet() : from;
  }

  /** Returns whether the process is a member of this group. */
  public boolean contains(String process) {
    return nodes.stream().anyMatch(node -> node.process().name().equals(process));
  }

  private MemberNode node(String process) {
    return nodes.stream()
        .filter(node -> node.process().name().equals(process))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException(database + " has no member " + process));
  }

  /** Returns the address at which a member serves SQL, past its relay. */
  public String sqlAddress(String process) {
    return "127.0.0.1:" + node(process).sqlPort();
  }

  private static <T> Optional<T> call(
      MemberNode node, Function<GroupControlGrpc.GroupControlBlockingStub, T> call) {
    ManagedChannel channel =
        NettyChannelBuilder.forAddress(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), node.controlPort()))
            .usePlaintext()
            .build();
    try {
      GroupControlGrpc.GroupControlBlockingStub stub =
          GroupControlGrpc.newBlockingStub(channel)
              .withDeadlineAfter(CALL_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
      return Optional.of(call.apply(stub));
    } catch (StatusRuntimeException e) {
      // A killed or frozen member does not answer.
      return Optional.empty();
    } finally {
      channel.shutdownNow();
    }
  }
}
