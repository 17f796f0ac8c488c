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
 * Follows the calls of one JDBC connection: its properties and prepared statements, and from them
 * the kind of each call.
 *
 * <p>A statement counts as a read only if it surely is one; the decision here is not which member
 * serves it but whether it may be sent twice.
 */
public final class CallInspector {

  private static final String REQUEST_PREFIX = "org.apache.calcite.avatica.proto.Requests$";
  private static final int REMEMBERED_STATEMENTS = 256;
  // An answer that a statement is missing has no rows.
  private static final int MAX_MISSING_ANSWER = 512;

  private static final Set<String> METADATA =
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

  private final Map<Integer, String> preparedTexts =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, String> eldest) {
          return size() > REMEMBERED_STATEMENTS;
        }
      };
  private Common.ConnectionProperties properties =
      Common.ConnectionProperties.newBuilder().setHasAutoCommit(true).setAutoCommit(true).build();
  private String lastPrepared = "";
  private int lastExecuted;

  /** Returns whether a call closes the JDBC connection, so that it is the last one. */
  public static boolean closesConnection(byte[] request) {
    return isNamed(request, "CloseConnectionRequest");
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
      case "FetchRequest", "SyncResultsRequest" -> CallKind.READ_ONLY;
      case "ConnectionSyncRequest" ->
          sync(Requests.ConnectionSyncRequest.parseFrom(wire.getWrappedMessage()));
      case "PrepareRequest" -> {
        lastPrepared = Requests.PrepareRequest.parseFrom(wire.getWrappedMessage()).getSql();
        yield CallKind.REPEATABLE;
      }
      case "PrepareAndExecuteRequest" ->
          statement(
              reads(
                  Requests.PrepareAndExecuteRequest.parseFrom(wire.getWrappedMessage()).getSql()));
      case "ExecuteRequest" -> {
        lastExecuted =
            Requests.ExecuteRequest.parseFrom(wire.getWrappedMessage())
                .getStatementHandle()
                .getId();
        yield statement(reads(preparedTexts.getOrDefault(lastExecuted, "")));
      }
      case "ExecuteBatchRequest" -> {
        lastExecuted =
            Requests.ExecuteBatchRequest.parseFrom(wire.getWrappedMessage()).getStatementId();
        yield statement(false);
      }
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
    if (!isNamed(answer, "PrepareResponse")) {
      return;
    }
    try {
      Common.WireMessage wire = Common.WireMessage.parseFrom(answer);
      preparedTexts.put(
          Responses.PrepareResponse.parseFrom(wire.getWrappedMessage()).getStatement().getId(),
          lastPrepared);
    } catch (InvalidProtocolBufferException e) {
      // The driver reports an answer that cannot be parsed.
      return;
    }
  }

  /**
   * Returns the text of the statement of the last call, if the answer says that the proxy does not
   * know the statement and so has not run it.
   */
  public Optional<String> textOfMissingStatement(byte[] answer) {
    boolean missing =
        answer.length <= MAX_MISSING_ANSWER
            && (isMissing(answer, "ExecuteResponse") || isMissing(answer, "ExecuteBatchResponse"));
    return missing ? Optional.ofNullable(preparedTexts.get(lastExecuted)) : Optional.empty();
  }

  private static boolean isMissing(byte[] answer, String type) {
    if (!isNamed(answer, type)) {
      return false;
    }
    try {
      Common.WireMessage wire = Common.WireMessage.parseFrom(answer);
      return type.equals("ExecuteResponse")
          ? Responses.ExecuteResponse.parseFrom(wire.getWrappedMessage()).getMissingStatement()
          : Responses.ExecuteBatchResponse.parseFrom(wire.getWrappedMessage())
              .getMissingStatement();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  /** The name of a message comes first: a tag byte, a length byte and the text. */
  private static boolean isNamed(byte[] message, String type) {
    if (message.length < 2 || message[1] <= 0 || message.length < 2 + message[1]) {
      return false;
    }
    return new String(message, 2, message[1], StandardCharsets.US_ASCII).endsWith("$" + type);
  }

  private static boolean reads(String sql) {
    String text = sql.stripLeading().toLowerCase(Locale.ROOT);
    boolean query =
        text.startsWith("select") || text.startsWith("values") || text.startsWith("show");
    // A locking read, a sequence or a function call may change something.
    return query && !text.contains(" for ") && !text.contains("nextval") && !text.contains("into ");
  }
}
