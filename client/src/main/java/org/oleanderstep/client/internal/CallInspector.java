package org.oleanderstep.client.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Requests;
import org.apache.calcite.avatica.proto.Responses;

/**
 * Tracks the properties and prepared statements of one JDBC connection by its calls, and classifies
 * each call. Not thread-safe.
 *
 * <p>A statement counts as a read only if it certainly changes nothing, because the result decides
 * whether it may be sent twice. It does not decide which member serves the statement.
 */
public final class CallInspector {

  private static final String REQUEST_PREFIX = "org.apache.calcite.avatica.proto.Requests$";
  private static final int MAX_REMEMBERED_STATEMENTS = 256;
  // A response that reports a missing statement has no rows and is therefore short.
  private static final int MAX_MISSING_STATEMENT_RESPONSE_BYTES = 512;

  private static final Set<String> REPEATABLE_REQUESTS =
      Set.of(
          "OpenConnectionRequest",
          "CloseConnectionRequest",
          "CreateStatementRequest",
          "CloseStatementRequest",
          "ConnectionSyncRequest",
          "DatabasePropertyRequest",
          "CatalogsRequest",
          "SchemasRequest",
          "TablesRequest",
          "TableTypesRequest",
          "TypeInfoRequest",
          "ColumnsRequest",
          "PrepareRequest");

  private final Map<Integer, String> preparedSql =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, String> eldest) {
          return size() > MAX_REMEMBERED_STATEMENTS;
        }
      };
  private Common.ConnectionProperties properties =
      Common.ConnectionProperties.newBuilder().setHasAutoCommit(true).setAutoCommit(true).build();
  private String lastPreparedSql = "";
  private int lastExecutedId;

  /** Returns whether a call closes the JDBC connection and thus is its last call. */
  public static boolean closesConnection(byte[] request) {
    return isNamed(request, "CloseConnectionRequest");
  }

  /** Returns the connection properties that the application has set, to be sent with each call. */
  public Common.ConnectionProperties properties() {
    return properties;
  }

  /** Returns the kind of a call and records the connection properties and statements it changes. */
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
      case "FetchRequest", "SyncResultsRequest" -> CallKind.READ_ONLY;
      case "ConnectionSyncRequest" ->
          kindOfConnectionSync(Requests.ConnectionSyncRequest.parseFrom(wire.getWrappedMessage()));
      case "PrepareRequest" -> {
        lastPreparedSql = Requests.PrepareRequest.parseFrom(wire.getWrappedMessage()).getSql();
        yield CallKind.REPEATABLE;
      }
      case "PrepareAndExecuteRequest" ->
          kindOfStatement(
              isRead(
                  Requests.PrepareAndExecuteRequest.parseFrom(wire.getWrappedMessage()).getSql()));
      case "ExecuteRequest" -> {
        lastExecutedId =
            Requests.ExecuteRequest.parseFrom(wire.getWrappedMessage())
                .getStatementHandle()
                .getId();
        yield kindOfStatement(isRead(preparedSql.getOrDefault(lastExecutedId, "")));
      }
      case "ExecuteBatchRequest" -> {
        lastExecutedId =
            Requests.ExecuteBatchRequest.parseFrom(wire.getWrappedMessage()).getStatementId();
        yield kindOfStatement(false);
      }
      default -> REPEATABLE_REQUESTS.contains(type) ? CallKind.REPEATABLE : kindOfStatement(false);
    };
  }

  private CallKind kindOfConnectionSync(Requests.ConnectionSyncRequest request) {
    boolean wasAutoCommit = properties.getAutoCommit();
    properties = merge(properties, request.getConnProps());
    // Turning auto-commit on commits the open transaction.
    return !wasAutoCommit && properties.getAutoCommit() ? CallKind.COMMIT : CallKind.REPEATABLE;
  }

  private static Common.ConnectionProperties merge(
      Common.ConnectionProperties current, Common.ConnectionProperties changes) {
    Common.ConnectionProperties.Builder merged = current.toBuilder();
    if (changes.getHasAutoCommit()) {
      merged.setHasAutoCommit(true).setAutoCommit(changes.getAutoCommit());
    }
    if (changes.getHasReadOnly()) {
      merged.setHasReadOnly(true).setReadOnly(changes.getReadOnly());
    }
    if (changes.getTransactionIsolation() != 0) {
      merged.setTransactionIsolation(changes.getTransactionIsolation());
    }
    if (!changes.getCatalog().isEmpty()) {
      merged.setCatalog(changes.getCatalog());
    }
    if (!changes.getSchema().isEmpty()) {
      merged.setSchema(changes.getSchema());
    }
    return merged.build();
  }

  private CallKind kindOfStatement(boolean isRead) {
    if (!properties.getAutoCommit()) {
      return CallKind.IN_TRANSACTION;
    }
    return isRead ? CallKind.REPEATABLE : CallKind.WRITE;
  }

  /** Records the statement id if the response is that of a prepare call. */
  public void onResponse(byte[] response) {
    if (!isNamed(response, "PrepareResponse")) {
      return;
    }
    try {
      Common.WireMessage wire = Common.WireMessage.parseFrom(response);
      preparedSql.put(
          Responses.PrepareResponse.parseFrom(wire.getWrappedMessage()).getStatement().getId(),
          lastPreparedSql);
    } catch (InvalidProtocolBufferException e) {
      // The driver reports a response that cannot be parsed.
      return;
    }
  }

  /**
   * Returns the SQL text of the statement that was executed last, if the response reports that the
   * proxy does not know the statement and has not run it.
   */
  public Optional<String> textOfMissingStatement(byte[] response) {
    boolean missing =
        response.length <= MAX_MISSING_STATEMENT_RESPONSE_BYTES
            && (reportsMissingStatement(response, "ExecuteResponse")
                || reportsMissingStatement(response, "ExecuteBatchResponse"));
    return missing ? Optional.ofNullable(preparedSql.get(lastExecutedId)) : Optional.empty();
  }

  private static boolean reportsMissingStatement(byte[] response, String type) {
    if (!isNamed(response, type)) {
      return false;
    }
    try {
      Common.WireMessage wire = Common.WireMessage.parseFrom(response);
      return type.equals("ExecuteResponse")
          ? Responses.ExecuteResponse.parseFrom(wire.getWrappedMessage()).getMissingStatement()
          : Responses.ExecuteBatchResponse.parseFrom(wire.getWrappedMessage())
              .getMissingStatement();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  /**
   * Returns whether a message has the given type. A message starts with its name: a tag byte, a
   * length byte and the text.
   */
  private static boolean isNamed(byte[] message, String type) {
    if (message.length < 2 || message[1] <= 0 || message.length < 2 + message[1]) {
      return false;
    }
    return new String(message, 2, message[1], StandardCharsets.US_ASCII).endsWith("$" + type);
  }

  private static boolean isRead(String sql) {
    String text = sql.stripLeading().toLowerCase(Locale.ROOT);
    boolean query =
        text.startsWith("select") || text.startsWith("values") || text.startsWith("show");
    // A locking read, a sequence call or SELECT INTO may change data.
    return query && !text.contains(" for ") && !text.contains("nextval") && !text.contains("into ");
  }
}
