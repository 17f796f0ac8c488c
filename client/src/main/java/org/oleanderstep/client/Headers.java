package org.oleanderstep.client;

/** Names of the HTTP headers that the client and the proxies exchange. */
public final class Headers {

  /** Session token, in both directions. */
  public static final String SESSION = "Oleanderstep-Session";

  /** Id of a request that runs at most once; the same when the request is repeated. */
  public static final String REQUEST_ID = "Oleanderstep-Request-Id";

  /** Milliseconds that the caller still waits for the answer. */
  public static final String DEADLINE_MS = "Oleanderstep-Deadline-Ms";

  /**
   * Properties of the JDBC connection, as Base64 of Avatica's {@code ConnectionProperties}. With it
   * a proxy serves a connection that was opened at another proxy.
   */
  public static final String CONNECTION = "Oleanderstep-Connection";

  /**
   * Base64 of the UTF-8 text of the prepared statement that the call executes; sent again with it
   * to a proxy that does not know the statement.
   */
  public static final String STATEMENT = "Oleanderstep-Statement";

  /** Present when a write of the session has an unknown outcome since the token was received. */
  public static final String UNKNOWN_WRITE = "Oleanderstep-Unknown-Write";

  /** Log position of a database member, on each answer of the member. */
  public static final String GROUP_POSITION = "Group-Position";

  private Headers() {}
}
