package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.FailureCode;

/**
 * Asks members which log position each has received.
 *
 * <p>Ends once each member has answered, or after {@link #LIMIT} with the answers until then. A
 * member that has no capacity, or whose connection is lost, is asked again.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
final class PositionInquiry {

  /** Allows for a new connection and a few refusals; a failover waits for a member no longer. */
  static final Duration LIMIT = Duration.ofMillis(400);

  private final Set<MemberId> unasked;
  private final Set<MemberId> pending = new HashSet<>();
  private final Map<MemberId, LogPosition> reported = new HashMap<>();
  private final long startedAt;
  private final CompletableFuture<Map<MemberId, LogPosition>> result = new CompletableFuture<>();

  /** Creates an inquiry; {@link #tick} sends it. */
  PositionInquiry(Set<MemberId> members, long now) {
    unasked = new HashSet<>(members);
    startedAt = now;
  }

  /** Completes with the position of each member that has answered; never fails. */
  CompletableFuture<Map<MemberId, LogPosition>> result() {
    return result;
  }

  /**
   * Asks the members that have not been asked yet.
   *
   * @param pools the pools of the members
   */
  void tick(Map<MemberId, MemberPool> pools, long now) {
    for (MemberId id : Set.copyOf(unasked)) {
      Optional.ofNullable(pools.get(id))
          .flatMap(MemberPool::leaseForInquiry)
          .ifPresent(connection -> ask(id, connection));
    }
    boolean answered = unasked.isEmpty() && pending.isEmpty();
    if (answered || now - startedAt >= LIMIT.toNanos()) {
      result.complete(Map.copyOf(reported));
    }
  }

  private void ask(MemberId id, PooledConnection connection) {
    unasked.remove(id);
    pending.add(id);
    ReplyHandler handler =
        new ReplyHandler() {
          @Override
          public void replied(TargetReply reply) {
            connection.pool().release(connection);
            onReply(id, reply);
          }

          @Override
          public void lost(String reason) {
            askAgain(id);
          }
        };
    connection.askPosition(handler);
    connection.flush();
  }

  private void onReply(MemberId id, TargetReply reply) {
    boolean busy =
        reply.answer() instanceof Answer.Failure failure
            && failure.code() == FailureCode.OVERLOADED;
    Optional<LogPosition> position = reply.receivedPosition().or(reply::position);
    if (busy || position.isEmpty()) {
      askAgain(id);
      return;
    }
    pending.remove(id);
    reported.put(id, position.get());
  }

  private void askAgain(MemberId id) {
    pending.remove(id);
    unasked.add(id);
  }
}
