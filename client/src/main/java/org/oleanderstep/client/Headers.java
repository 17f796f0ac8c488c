package org.oleanderstep.client;

/** Names of the HTTP headers that the client and the proxies exchange. */
public final class Headers {

  /** Session token, in both directions. */
  public static final String SESSION = "Oleanderstep-Session";

  /** Id of a request that runs at most once; a retry carries the same id. */
  public static final String REQUEST_ID = "Oleanderstep-Request-Id";

  /** Remaining time in milliseconds that the caller waits for the response. */
  public static final String DEADLINE_MS = "Oleanderstep-Deadline-Ms";

  /**
   * Properties of the JDBC connection, as Base64 of Avatica's {@code ConnectionProperties}. They
   * allow a proxy to serve a connection that was opened at another proxy.
   */
  public static final String CONNECTION = "Oleanderstep-Connection";

  /**
   * Base64 of the UTF-8 text of the prepared statement that the call executes; added when the call
   * is repeated because the proxy does not know the statement.
   */
  public static final String STATEMENT = "Oleanderstep-Statement";

  /**
   * Present if the outcome of a write is unknown that was sent after the session token was
   * received.
   */
  public static final String UNKNOWN_WRITE = "Oleanderstep-Unknown-Write";

  /**
   * Id of the call, which the server returns with the response; a response that names another call
   * is not used.
   */
  public static final String CALL = "Oleanderstep-Call";

  /** Log position of a database member, on each response of the member. */
  public static final String GROUP_POSITION = "Group-Position";

  private Headers() {}
}
