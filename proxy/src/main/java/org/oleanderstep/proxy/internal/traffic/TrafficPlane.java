package org.oleanderstep.proxy.internal.traffic;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;

/** The traffic plane as seen by the control plane. Thread-safe. */
public interface TrafficPlane extends AutoCloseable {

  /**
   * Applies a new snapshot: resumes requests that wait for a primary or a position, ends
   * transactions and cursors of withdrawn keys, and closes connections to members that leave or
   * have a new incarnation.
   */
  void onSnapshot(ControlSnapshot snapshot);

  /**
   * Returns the number of statements and transactions of this proxy that hold a connection to a
   * member.
   */
  int outstanding(DatabaseId database, MemberId member);

  /** Returns the port on which callers are served. */
  int callerPort();

  /**
   * Starts the graceful shutdown. Responses close their connections, and open transactions that
   * have not ended within the drain time are rolled back at a statement boundary. Completes when no
   * request runs any more.
   */
  CompletableFuture<Void> drain(Duration drainTime);

  /** Stops immediately, without draining. */
  @Override
  void close();
}
