package org.oleanderstep.standins.member.internal;

import java.sql.SQLException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A transaction of the primary whose log entry waits for a majority. */
final class CommitTicket {

  /** Ends a transaction in the local database. */
  interface LocalCommit {
    void run() throws SQLException;
  }

  private final LocalCommit localCommit;
  private final CompletableFuture<Boolean> acknowledged = new CompletableFuture<>();

  CommitTicket(LocalCommit localCommit) {
    this.localCommit = localCommit;
  }

  void commitLocally() throws SQLException {
    localCommit.run();
  }

  /** Ends the wait; true means that the commit may be answered. */
  void complete(boolean mayAnswer) {
    acknowledged.complete(mayAnswer);
  }

  /** Returns true if the commit may be answered, false if its outcome is unknown. */
  boolean await(Duration timeout) {
    try {
      return acknowledged.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Runs an action once the entry is committed or will never be answered. */
  void whenSettled(Runnable action) {
    var unused = acknowledged.whenComplete((mayAnswer, failure) -> action.run());
  }
}
