package org.oleanderstep.client.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Requests;
import org.apache.calcite.avatica.proto.Responses;

/**
 * Follows the calls of one JDBC connection: its properties and prepared statements, and from them
 * the kind of each call.
 *
 * <p>A statement counts as a read only if it surely is one; the decision here is not which member
 * serves it but whether it may be sent twice.
 */
public final class CallInspector {

  private static final String REQUEST_PREFIX = "org.apache.calcite.avatica.proto.Requests$";
  private static final int REMEMBERED_STATEMENTS = 256;

  private static final Set<String> METADATA =
      Set.of(
          "OpenConnectionRequest",
          "CloseConnectionRequest",
          "CreateStatementRequest",
          "ConnectionSyncRequest",
          "DatabasePropertyRequest",
          "CatalogsRequest",
          "SchemasRequest",
          "TablesRequest",
          "TableTypesRequest",
          "TypeInfoRequest",
          "ColumnsRequest",
          "PrepareRequest");

  private final Map<Integer, Boolean> preparedReads =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
          return size() > REMEMBERED_STATEMENTS;
        }
      };
  private Common.ConnectionProperties properties =
      Common.ConnectionProperties.newBuilder().setHasAutoCommit(true).setAutoCommit(true).build();
  private boolean lastPrepareReads;

  /** Returns whether a call closes the JDBC connection, so that it is the last one. */
  public static boolean closesConnection(byte[] request) {
    // The name of the call comes first: a tag byte, a length byte and the text.
    if (request.length < 2 || request[1] <= 0 || request.length < 2 + request[1]) {
      return false;
    }
    return new String(request, 2, request[1], StandardCharsets.US_ASCII)
        .equals(REQUEST_PREFIX + "CloseConnectionRequest");
  }

  /** Returns the properties that the application has set, for a proxy that does not know them. */
  public Common.ConnectionProperties properties() {
    return properties;
  }

  /** Returns the kind of a call and takes note of what it changes. */
  public CallKind inspect(byte[] request) {
    try {
      Common.WireMessage wire = Common.WireMessage.parseFrom(request);
      return kindOf(wire);
    } catch (InvalidProtocolBufferException e) {
      return CallKind.WRITE;
    }
  }

  private CallKind kindOf(Common.WireMessage wire) throws InvalidProtocolBufferException {
    String name = wire.getName();
    String type = name.startsWith(REQUEST_PREFIX) ? name.substring(REQUEST_PREFIX.length()) : name;
    return switch (type) {
      case "CommitRequest" -> CallKind.COMMIT;
      case "RollbackRequest" -> CallKind.ROLLBACK;
      case "FetchRequest", "SyncResultsRequest", "CloseStatementRequest" -> CallKind.READ_ONLY;
      case "ConnectionSyncRequest" ->
          sync(Requests.ConnectionSyncRequest.parseFrom(wire.getWrappedMessage()));
      case "PrepareRequest" -> {
        lastPrepareReads =
            reads(Requests.PrepareRequest.parseFrom(wire.getWrappedMessage()).getSql());
        yield CallKind.REPEATABLE;
      }
      case "PrepareAndExecuteRequest" ->
          statement(
              reads(
                  Requests.PrepareAndExecuteRequest.parseFrom(wire.getWrappedMessage()).getSql()));
      case "ExecuteRequest" ->
          statement(
              preparedReads.getOrDefault(
                  Requests.ExecuteRequest.parseFrom(wire.getWrappedMessage())
                      .getStatementHandle()
                      .getId(),
                  false));
      default -> METADATA.contains(type) ? CallKind.REPEATABLE : statement(false);
    };
  }

  private CallKind sync(Requests.ConnectionSyncRequest request) {
    boolean wasAutoCommit = properties.getAutoCommit();
    properties = merge(properties, request.getConnProps());
    // Turning auto-commit on commits the open transaction.
    return !wasAutoCommit && properties.getAutoCommit() ? CallKind.COMMIT : CallKind.REPEATABLE;
  }

  private static Common.ConnectionProperties merge(
      Common.ConnectionProperties old, Common.ConnectionProperties sent) {
    Common.ConnectionProperties.Builder merged = old.toBuilder();
    if (sent.getHasAutoCommit()) {
      merged.setHasAutoCommit(true).setAutoCommit(sent.getAutoCommit());
    }
    if (sent.getHasReadOnly()) {
      merged.setHasReadOnly(true).setReadOnly(sent.getReadOnly());
    }
    if (sent.getTransactionIsolation() != 0) {
      merged.setTransactionIsolation(sent.getTransactionIsolation());
    }
    if (!sent.getCatalog().isEmpty()) {
      merged.setCatalog(sent.getCatalog());
    }
    if (!sent.getSchema().isEmpty()) {
      merged.setSchema(sent.getSchema());
    }
    return merged.build();
  }

  private CallKind statement(boolean reads) {
    if (!properties.getAutoCommit()) {
      return CallKind.IN_TRANSACTION;
    }
    return reads ? CallKind.REPEATABLE : CallKind.WRITE;
  }

  /** Takes note of the statement id that a prepare call was answered with. */
  public void onAnswer(byte[] answer) {
    try {
      Common.WireMessage wire = Common.WireMessage.parseFrom(answer);
      if (wire.getName().endsWith("$PrepareResponse")) {
        preparedReads.put(
            Responses.PrepareResponse.parseFrom(wire.getWrappedMessage()).getStatement().getId(),
            lastPrepareReads);
      }
    } catch (InvalidProtocolBufferException e) {
      // The driver reports an answer that cannot be parsed.
      return;
    }
  }

  private static boolean reads(String sql) {
    String text = sql.stripLeading().toLowerCase(Locale.ROOT);
    boolean query =
        text.startsWith("select") || text.startsWith("values") || text.startsWith("show");
    // A locking read, a sequence or a function call may change something.
    return query && !text.contains(" for ") && !text.contains("nextval") && !text.contains("into ");
  }
}
