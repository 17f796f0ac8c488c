package org.oleanderstep.proxy.internal.traffic;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;

/** The traffic side as the control side sees it. All methods may be called by any thread. */
public interface TrafficPlane extends AutoCloseable {

  /**
   * Applies a new snapshot: wakes requests that wait for a primary or a position, ends transactions
   * and cursors of withdrawn keys, and closes connections to leaving or rebuilt members.
   */
  void onSnapshot(ControlSnapshot snapshot);

  /** Returns the statements of this proxy that run on a member now. */
  int outstanding(DatabaseId database, MemberId member);

  /** Returns the port on which callers are served. */
  int callerPort();

  /**
   * Starts the planned shutdown: answers close their connections, open transactions get the drain
   * time, then are rolled back at a statement boundary. Completes when nothing runs any more.
   */
  CompletableFuture<Void> drain(Duration drainTime);

  /** Stops at once. */
  @Override
  void close();
}
