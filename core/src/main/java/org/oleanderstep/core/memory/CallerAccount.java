package org.oleanderstep.core.memory;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * What the process holds for one connection. Every change is reported to the accounts of the
 * process, which may close this or another connection at once. Not thread-safe.
 */
public final class CallerAccount {

  /** The connection to which an account belongs. */
  public interface Connection {

    /** Closes the connection at once, because it has exceeded a limit. */
    void closeFor(CallerLimit limit, CallerAccount account);
  }

  /** Bytes of a statement beside its texts: its record, its place in queues and its task. */
  private static final long STATEMENT_BYTES = 512;

  private final CallerAccounts accounts;
  private final Connection connection;
  private final Deque<Long> statements = new ArrayDeque<>();
  private final TransferTimer receiving = new TransferTimer();
  private final TransferTimer sending = new TransferTimer();
  private Optional<String> organisation = Optional.empty();
  private long receivedBytes;
  private long statementBytes;
  private long answerBytes;
  private long stateBytes;
  private long holdsSince;
  private boolean closed;

  CallerAccount(CallerAccounts accounts, Connection connection) {
    this.accounts = accounts;
    this.connection = connection;
  }

  /** Names the organisation after a valid key. Returns false if it has too many connections. */
  public boolean identify(String name) {
    if (!accounts.admits(name)) {
      return false;
    }
    accounts.change(this, () -> organisation = Optional.of(name));
    return true;
  }

  /**
   * Notes the bytes that are held of messages which are not handled yet.
   *
   * @param inPart whether a message has arrived whose end has not
   */
  public void received(long heldBytes, boolean inPart) {
    receiving.move(Math.max(0, heldBytes - receivedBytes));
    accounts.change(this, () -> receivedBytes = heldBytes);
    if (!inPart || !mayRead()) {
      receiving.stop();
    } else {
      receiving.startIfStopped(accounts.now());
    }
  }

  /** Notes that a whole message has been handled; what follows belongs to the next one. */
  public void messageEnded() {
    receiving.stop();
  }

  /** Notes a statement that has no answer yet. */
  public void statementAccepted(long textBytes) {
    long bytes = textBytes + STATEMENT_BYTES;
    statements.add(bytes);
    accounts.change(this, () -> statementBytes += bytes);
  }

  /** Notes that the oldest statement has its answer. */
  public void statementAnswered() {
    Long bytes = statements.poll();
    if (bytes != null) {
      accounts.change(this, () -> statementBytes -= bytes);
    }
  }

  /** Notes bytes of an answer that wait to be written. */
  public void answerQueued(long bytes) {
    sending.startIfStopped(accounts.now());
    accounts.change(this, () -> answerBytes += bytes);
  }

  /** Notes that bytes of answers have been written. */
  public void answerWritten(long bytes) {
    sending.move(bytes);
    accounts.change(this, () -> answerBytes -= bytes);
    if (answerBytes == 0) {
      sending.stop();
    }
  }

  /** Notes the bytes that the session keeps between statements. */
  public void stateKept(long bytes) {
    accounts.change(this, () -> stateBytes = bytes);
  }

  /** Returns whether more may be read of the connection. */
  public boolean mayRead() {
    return statements.size() < accounts.limits().statementsAhead()
        && statementBytes < CallerLimits.BYTES_AHEAD;
  }

  /** Releases the account after its connection has ended. */
  public void close() {
    accounts.remove(this);
  }

  /** Returns the bytes held for the connection. */
  public long heldBytes() {
    return receivedBytes + statementBytes + answerBytes + stateBytes;
  }

  /** Returns the organisation; empty before a valid key. */
  public Optional<String> organisation() {
    return organisation;
  }

  long holdsSince() {
    return holdsSince;
  }

  void setHoldsSince(long now) {
    holdsSince = now;
  }

  /** Returns the limit of time that the connection has exceeded. */
  Optional<CallerLimit> expiredLimit(long now) {
    if (receiving.isExpired(now)) {
      return Optional.of(CallerLimit.SLOW_SENDER);
    }
    return sending.isExpired(now) ? Optional.of(CallerLimit.SLOW_READER) : Optional.empty();
  }

  /** Returns false if the account was closed before. */
  boolean markClosed() {
    boolean first = !closed;
    closed = true;
    return first;
  }

  boolean isClosed() {
    return closed;
  }

  void closeConnection(CallerLimit limit) {
    connection.closeFor(limit, this);
  }
}
