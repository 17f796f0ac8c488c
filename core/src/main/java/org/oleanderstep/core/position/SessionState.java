package org.oleanderstep.core.position;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.model.DatabaseId;

/**
 * The state of a session, which travels from call to call in the session token.
 *
 * <pre>{@code
 * SessionState next = state.afterAcknowledgedWrite(database, position);
 * header.set(SessionToken.encode(next));
 * }</pre>
 *
 * @param requirements what the session's next read requires, by database; a database without an
 *     entry requires the primary
 * @param generation highest configuration generation that has served the session
 */
public record SessionState(
    Map<DatabaseId, ReadRequirement> requirements,
    long generation,
    Optional<TransactionToken> transaction) {

  /** The state of a caller that sent no token. */
  public static final SessionState EMPTY = new SessionState(Map.of(), 0, Optional.empty());

  private static final ReadRequirement UNKNOWN_SESSION = new ReadRequirement.PrimaryOnly();

  /** Copies the map. */
  public SessionState {
    requirements = Map.copyOf(requirements);
    if (generation < 0) {
      throw new IllegalArgumentException("generation must not be negative: " + generation);
    }
  }

  /** Returns what the next read of the database requires. */
  public ReadRequirement requirement(DatabaseId database) {
    return requirements.getOrDefault(database, UNKNOWN_SESSION);
  }

  /** Returns the state with this requirement, regardless of the previous one. */
  public SessionState withRequirement(DatabaseId database, ReadRequirement requirement) {
    if (requirement.equals(requirements.get(database))) {
      return this;
    }
    Map<DatabaseId, ReadRequirement> changed = new HashMap<>(requirements);
    changed.put(database, requirement);
    return new SessionState(changed, generation, transaction);
  }

  /** Returns the state after a configuration of this generation served the session. */
  public SessionState withGeneration(long seen) {
    return seen <= generation ? this : new SessionState(requirements, seen, transaction);
  }

  /** Returns the state with this open transaction. */
  public SessionState withTransaction(TransactionToken open) {
    return new SessionState(requirements, generation, Optional.of(open));
  }

  /** Returns the state after the end of the transaction. */
  public SessionState withoutTransaction() {
    return new SessionState(requirements, generation, Optional.empty());
  }

  /** Returns the state after the primary acknowledged a write at this position. */
  public SessionState afterAcknowledgedWrite(DatabaseId database, LogPosition position) {
    return withRequirement(database, atLeast(database, position));
  }

  /**
   * Returns the state after a write whose outcome is unknown.
   *
   * @param term term of the primary that the write was sent to
   */
  public SessionState afterUnknownWrite(DatabaseId database, long term) {
    LogPosition required =
        LogPosition.max(requirement(database).position(), new LogPosition(term, 0));
    return withRequirement(database, new ReadRequirement.PrimaryOnly(required));
  }

  /**
   * Returns the state after a read that a member served with this applied position.
   *
   * <p>If the session requires the primary, only the primary serves it, so the position is then one
   * of the primary.
   */
  public SessionState afterRead(DatabaseId database, LogPosition applied) {
    return withRequirement(database, atLeast(database, applied));
  }

  /**
   * Returns the state after the primary of the highest known term reported this position.
   *
   * <p>The report must have been requested after the session's last call ended. A position that was
   * cached earlier may not include the session's own writes.
   */
  public SessionState afterPrimaryPosition(DatabaseId database, LogPosition position) {
    ReadRequirement requirement = requirement(database);
    boolean fromOlderPrimary = position.term() < requirement.position().term();
    if (requirement instanceof ReadRequirement.AtLeast || fromOlderPrimary) {
      return this;
    }
    return withRequirement(database, atLeast(database, position));
  }

  private ReadRequirement atLeast(DatabaseId database, LogPosition position) {
    return new ReadRequirement.AtLeast(LogPosition.max(requirement(database).position(), position));
  }
}
