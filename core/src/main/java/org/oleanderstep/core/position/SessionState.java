package org.oleanderstep.core.position;

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
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public record SessionState(
    Map<DatabaseId, ReadNeed> needs, long generation, Optional<TransactionToken> transaction) {

  /** State of a caller that sent no token. */
  public static final SessionState EMPTY = new SessionState(Map.of(), 0, Optional.empty());

  /** Copies the map. */
  public SessionState {
    needs = Map.copyOf(needs);
    if (generation < 0) {
      throw new IllegalArgumentException("the generation must not be negative: " + generation);
    }
  }

  /** Returns what the next read of the database requires. */
  public ReadNeed need(DatabaseId database) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the state with this need, whatever it was before. */
  public SessionState withNeed(DatabaseId database, ReadNeed need) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the state after a configuration of this generation served the session. */
  public SessionState withGeneration(long seen) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the state within a transaction. */
  public SessionState withTransaction(TransactionToken open) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the state after the end of the transaction. */
  public SessionState withoutTransaction() {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the state after the primary acknowledged a write at this position. */
  public SessionState afterAcknowledgedWrite(DatabaseId database, LogPosition position) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the state after a write whose outcome is unknown. */
  public SessionState afterUnknownWrite(DatabaseId database) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the state after a read that a member served with this applied position. */
  public SessionState afterRead(DatabaseId database, LogPosition applied) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /**
   * Returns the state after the primary of the highest known term reported this position.
   *
   * <p>The report must have been requested after the session's last call ended; a position that was
   * cached before may lack the session's own writes.
   */
  public SessionState afterPrimaryPosition(DatabaseId database, LogPosition position) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
