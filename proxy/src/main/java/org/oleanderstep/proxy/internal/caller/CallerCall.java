package org.oleanderstep.proxy.internal.caller;

import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.calcite.avatica.proto.Common;
import org.oleanderstep.core.model.DatabaseId;

/**
 * One call as read from HTTP; neither its key nor its session has been checked.
 *
 * @param properties JDBC properties of the connection, if the client sent them
 * @param statementText SQL text of the prepared statement, sent if this proxy did not know the
 *     statement
 * @param unknownWrite whether the session has had a write with unknown outcome since its token was
 *     issued
 * @param callerDisconnected tells whether the caller's network connection is closed
 * @param usedConnections JDBC connections whose transactions are rolled back when the network
 *     connection closes
 */
record CallerCall(
    DatabaseId database,
    Optional<Credentials> credentials,
    Optional<String> sessionToken,
    boolean unknownWrite,
    Optional<String> requestId,
    long deadlineNanos,
    Optional<Common.ConnectionProperties> properties,
    Optional<String> statementText,
    BooleanSupplier callerDisconnected,
    Set<CallerConnection.Id> usedConnections) {

  /** Key id and secret sent with a call; {@code toString} does not reveal them. */
  record Credentials(String keyId, String secret) {

    @Override
    public String toString() {
      return "Credentials";
    }
  }
}
