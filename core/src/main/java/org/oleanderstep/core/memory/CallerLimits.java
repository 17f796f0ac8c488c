package org.oleanderstep.core.memory;

import java.time.Duration;

/**
 * The limits of one process.
 *
 * @param bytes bytes held for all callers: messages in part, statements without an answer, and
 *     answers that are not written yet
 * @param connections connections of all callers
 * @param statementsAhead statements of a connection without an answer from which nothing more is
 *     read of it
 */
public record CallerLimits(long bytes, int connections, int statementsAhead) {

  /** Longest opening message, in bytes; nothing else may come before a valid key. */
  public static final int OPENING_BYTES = 64 << 10;

  /** Bytes of the statements without an answer from which nothing more is read. */
  static final long BYTES_AHEAD = 64 << 10;

  /** Time for a message or for unread answers, however few bytes they have. */
  static final Duration TRANSFER_TIME = Duration.ofSeconds(30);

  /** A transfer that is this fast may take any time. */
  static final long SLOWEST_BYTES_PER_SECOND = 16 << 10;

  private static final int STATEMENTS_AHEAD = 16;
  private static final long MEGABYTE = 1 << 20;

  /** Room for one message of the maximum length, its copies and its answer. */
  private static final long MIN_BYTES = 16 * MEGABYTE;

  private static final long MAX_BYTES = 64 * MEGABYTE;
  private static final int HEAP_PART = 4;
  private static final int MEMORY_PART = 8;

  /** Descriptors of the virtual machine itself, of files and of the store. */
  private static final int OWN_DESCRIPTORS = 128;

  /** Part of the descriptors that is left to members and other VMs. */
  private static final int DESCRIPTORS_PART = 8;

  /** Heap that is set aside for each connection, of a quarter of the heap for all. */
  private static final long HEAP_BYTES_PER_CONNECTION = 4 << 10;

  /** Checks the limits. */
  public CallerLimits {
    if (bytes < MIN_BYTES || connections < 1 || statementsAhead < 1) {
      throw new IllegalArgumentException(
          "limits of callers have at least "
              + MIN_BYTES
              + " bytes, one connection and one statement, but are "
              + bytes
              + ", "
              + connections
              + ", "
              + statementsAhead);
    }
  }

  /**
   * Returns the limits that fit a machine.
   *
   * @param heapBytes largest heap of the process
   * @param memoryBytes memory of the machine
   * @param descriptors descriptors that the process may open
   */
  public static CallerLimits of(long heapBytes, long memoryBytes, int descriptors) {
    long part = Math.min(heapBytes / HEAP_PART, memoryBytes / MEMORY_PART);
    long bytes = Math.max(MIN_BYTES, Math.min(MAX_BYTES, part));
    int reserve = OWN_DESCRIPTORS + descriptors / DESCRIPTORS_PART;
    long byHeap = heapBytes / HEAP_PART / HEAP_BYTES_PER_CONNECTION;
    long connections = Math.max(1, Math.min(descriptors - reserve, byHeap));
    return new CallerLimits(bytes, (int) connections, STATEMENTS_AHEAD);
  }

  /** Returns these limits with another number of connections. */
  public CallerLimits withConnections(int number) {
    return new CallerLimits(bytes, number, statementsAhead);
  }

  /** Returns the bytes that the connections without a valid key may hold together. */
  long bytesWithoutKey() {
    return bytes / 4;
  }

  /** Returns the bytes that the connections of one organisation may hold together. */
  long organisationBytes() {
    return bytes / 2;
  }

  /** Returns the connections that one organisation may have. */
  int organisationConnections() {
    return Math.max(1, connections / 2);
  }
}
