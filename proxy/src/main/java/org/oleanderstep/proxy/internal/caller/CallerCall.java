package org.oleanderstep.proxy.internal.caller;

import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.calcite.avatica.proto.Common;
import org.oleanderstep.core.model.DatabaseId;

/**
 * One call as it came over the network; nothing of it has been checked.
 *
 * @param properties JDBC properties of the connection, if the client sent them
 * @param statementText text of the prepared statement, if this proxy did not know it
 * @param unknownWrite whether a write of the session has an unknown outcome since its token
 * @param callerGone whether the caller's network connection is closed
 * @param usedConnections JDBC connections whose transactions end with the network connection
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
    BooleanSupplier callerGone,
    Set<CallerConnection.Id> usedConnections) {

  /** Key id and secret of a call. */
  record Credentials(String keyId, String secret) {

    @Override
    public String toString() {
      return "Credentials";
    }
  }
}
