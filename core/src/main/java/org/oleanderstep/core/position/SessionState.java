package org.oleanderstep.core.position;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.model.DatabaseId;

/**
 * What a session carries from call to call in its token.
 *
 * <pre>{@code
 * SessionState next = state.afterAcknowledgedWrite(database, position);
 * header.set(SessionToken.encode(next));
 * }</pre>
 *
 * @param needs what the session's next read requires, by database; a database without an entry
 *     requires the primary
 * @param generation highest configuration generation that the session has seen
 */
public record SessionState(
    Map<DatabaseId, ReadNeed> needs, long generation, Optional<TransactionToken> transaction) {

  /** State of a caller that sent no token. */
  public static final SessionState EMPTY = new SessionState(Map.of(), 0, Optional.empty());

  private static final ReadNeed UNKNOWN_SESSION = new ReadNeed.PrimaryOnly();

  /** Copies the map. */
  public SessionState {
    needs = Map.copyOf(needs);
    if (generation < 0) {
      throw new IllegalArgumentException("the generation must not be negative: " + generation);
    }
  }

  /** Returns what the next read of the database requires. */
  public ReadNeed need(DatabaseId database) {
    return needs.getOrDefault(database, UNKNOWN_SESSION);
  }

  /** Returns the state with this need, whatever it was before. */
  public SessionState withNeed(DatabaseId database, ReadNeed need) {
    if (need.equals(needs.get(database))) {
      return this;
    }
    Map<DatabaseId, ReadNeed> changed = new HashMap<>(needs);
    changed.put(database, need);
    return new SessionState(changed, generation, transaction);
  }

  /** Returns the state after a configuration of this generation served the session. */
  public SessionState withGeneration(long seen) {
    return seen <= generation ? this : new SessionState(needs, seen, transaction);
  }

  /** Returns the state within a transaction. */
  public SessionState withTransaction(TransactionToken open) {
    return new SessionState(needs, generation, Optional.of(open));
  }

  /** Returns the state after the end of the transaction. */
  public SessionState withoutTransaction() {
    return new SessionState(needs, generation, Optional.empty());
  }

  /** Returns the state after the primary acknowledged a write at this position. */
  public SessionState afterAcknowledgedWrite(DatabaseId database, LogPosition position) {
    return withNeed(database, atLeast(database, position));
  }

  /**
   * Returns the state after a write whose outcome is unknown.
   *
   * @param term term of the primary that the write was sent to
   */
  public SessionState afterUnknownWrite(DatabaseId database, long term) {
    LogPosition floor = LogPosition.max(need(database).position(), new LogPosition(term, 0));
    return withNeed(database, new ReadNeed.PrimaryOnly(floor));
  }

  /**
   * Returns the state after a read that a member served with this applied position.
   *
   * <p>A session that requires the primary is only ever served by the primary, so the position is
   * one of the primary then.
   */
  public SessionState afterRead(DatabaseId database, LogPosition applied) {
    return withNeed(database, atLeast(database, applied));
  }

  /**
   * Returns the state after the primary of the highest known term reported this position.
   *
   * <p>The report must have been requested after the session's last call ended; a position that was
   * cached before may lack the session's own writes.
   */
  public SessionState afterPrimaryPosition(DatabaseId database, LogPosition position) {
    ReadNeed need = need(database);
    boolean fromOlderPrimary = position.term() < need.position().term();
    if (need instanceof ReadNeed.AtLeast || fromOlderPrimary) {
      return this;
    }
    return withNeed(database, atLeast(database, position));
  }

  private ReadNeed atLeast(DatabaseId database, LogPosition position) {
    return new ReadNeed.AtLeast(LogPosition.max(need(database).position(), position));
  }
}
