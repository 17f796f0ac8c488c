package org.oleanderstep.core.routing;

import java.util.random.RandomGenerator;
import org.oleanderstep.core.position.ReadNeed;

/**
 * Chooses the member that runs a statement outside a transaction, or a transaction's first one.
 *
 * <pre>{@code
 * RouteDecision decision =
 *     router.routeRead(view, session.need(database), rule, clock.nanoTime(), random);
 * }</pre>
 *
 * <p>Stateless; traffic threads share one instance.
 */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class StatementRouter {

  /** Creates a router that balances by the given counts. */
  public StatementRouter(OutstandingStatements outstanding) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Chooses where a read goes. */
  public RouteDecision routeRead(
      GroupView view, ReadNeed need, ReadRule rule, long nowNanos, RandomGenerator random) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /**
   * Chooses where a read goes that has already waited, and must not wait for a replica again.
   *
   * @param arrivedNanos when the read arrived; the age of its data is counted from then
   */
  public RouteDecision routeReadAfterWait(
      GroupView view, ReadNeed need, ReadRule rule, long arrivedNanos, RandomGenerator random) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Chooses where a write, or a transaction that may write, goes. */
  public RouteDecision routeWrite(GroupView view) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
