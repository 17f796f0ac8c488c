package org.oleanderstep.core.memory;

/** A limit whose excess ends a caller's connection. */
public enum CallerLimit {
  /** Connections of the process. */
  CONNECTIONS("connections of this VM"),
  /** Connections of one organisation. */
  ORGANISATION_CONNECTIONS("connections of the organisation at this VM"),
  /** Bytes that the process holds for all callers. */
  BYTES("memory for callers of this VM"),
  /** Bytes that the process holds for one organisation. */
  ORGANISATION_BYTES("memory for the organisation at this VM"),
  /** Bytes that the process holds for all connections that have shown no valid key. */
  BYTES_WITHOUT_KEY("memory for callers without a key of this VM"),
  /** Time for the whole of a message. */
  SLOW_SENDER("time for a message"),
  /** Time for the reading of answers. */
  SLOW_READER("time for the reading of answers");

  private final String description;

  CallerLimit(String description) {
    this.description = description;
  }

  @Override
  public String toString() {
    return description;
  }
}
