package org.oleanderstep.client.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.Optional;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Requests;
import org.apache.calcite.avatica.proto.Responses;

/**
 * Compares the bodies of a call and its response, for servers that don't name the call.
 *
 * <p>The type of the response, its connection id and its statement id can contradict the call. They
 * can't confirm it: two executions of one statement have responses with the same ids.
 */
public final class BodyMatch {

  private static final String ERROR = "ErrorResponse";
  private static final String RESULT_SET = "ResultSetResponse";
  private static final String EXECUTE = "ExecuteResponse";
  private static final String EXECUTE_BATCH = "ExecuteBatchResponse";

  private static final Map<String, String> RESPONSE_TYPES =
      Map.ofEntries(
          Map.entry("CatalogsRequest", RESULT_SET),
          Map.entry("SchemasRequest", RESULT_SET),
          Map.entry("TablesRequest", RESULT_SET),
          Map.entry("TableTypesRequest", RESULT_SET),
          Map.entry("TypeInfoRequest", RESULT_SET),
          Map.entry("ColumnsRequest", RESULT_SET),
          Map.entry("PrepareAndExecuteRequest", EXECUTE),
          Map.entry("ExecuteRequest", EXECUTE),
          Map.entry("PrepareAndExecuteBatchRequest", EXECUTE_BATCH),
          Map.entry("ExecuteBatchRequest", EXECUTE_BATCH),
          Map.entry("PrepareRequest", "PrepareResponse"),
          Map.entry("FetchRequest", "FetchResponse"),
          Map.entry("SyncResultsRequest", "SyncResultsResponse"),
          Map.entry("CreateStatementRequest", "CreateStatementResponse"),
          Map.entry("CloseStatementRequest", "CloseStatementResponse"),
          Map.entry("OpenConnectionRequest", "OpenConnectionResponse"),
          Map.entry("CloseConnectionRequest", "CloseConnectionResponse"),
          Map.entry("ConnectionSyncRequest", "ConnectionSyncResponse"),
          Map.entry("DatabasePropertyRequest", "DatabasePropertyResponse"),
          Map.entry("CommitRequest", "CommitResponse"),
          Map.entry("RollbackRequest", "RollbackResponse"));

  /** Ids that a message names; empty or absent if it names none. */
  private record Ids(String connection, Optional<Integer> statement) {

    static final Ids NONE = new Ids("", Optional.empty());

    static Ids of(String connection) {
      return new Ids(connection, Optional.empty());
    }

    static Ids of(String connection, int statement) {
      return new Ids(connection, Optional.of(statement));
    }

    boolean contradicts(Ids other) {
      boolean bothConnections = !connection.isEmpty() && !other.connection.isEmpty();
      boolean bothStatements = statement.isPresent() && other.statement.isPresent();
      return (bothConnections && !connection.equals(other.connection))
          || (bothStatements && !statement.equals(other.statement));
    }
  }

  private BodyMatch() {}

  /** Returns whether a response certainly belongs to another call. */
  public static boolean contradicts(byte[] request, byte[] response) {
    try {
      Common.WireMessage call = Common.WireMessage.parseFrom(request);
      Common.WireMessage answer = Common.WireMessage.parseFrom(response);
      String type = type(answer);
      if (type.equals(ERROR)) {
        return false;
      }
      String expected = RESPONSE_TYPES.getOrDefault(type(call), type);
      return !type.equals(expected)
          || requestIds(type(call), call.getWrappedMessage())
              .contradicts(responseIds(type, answer.getWrappedMessage()));
    } catch (InvalidProtocolBufferException e) {
      return true;
    }
  }

  private static String type(Common.WireMessage message) {
    return message.getName().substring(message.getName().lastIndexOf('$') + 1);
  }

  private static Ids requestIds(String type, ByteString body)
      throws InvalidProtocolBufferException {
    return switch (type) {
      case "PrepareRequest" -> Ids.of(Requests.PrepareRequest.parseFrom(body).getConnectionId());
      case "CreateStatementRequest" ->
          Ids.of(Requests.CreateStatementRequest.parseFrom(body).getConnectionId());
      case "PrepareAndExecuteRequest" -> {
        var request = Requests.PrepareAndExecuteRequest.parseFrom(body);
        yield Ids.of(request.getConnectionId(), request.getStatementId());
      }
      case "ExecuteRequest" -> {
        var handle = Requests.ExecuteRequest.parseFrom(body).getStatementHandle();
        yield Ids.of(handle.getConnectionId(), handle.getId());
      }
      case "PrepareAndExecuteBatchRequest" -> {
        var request = Requests.PrepareAndExecuteBatchRequest.parseFrom(body);
        yield Ids.of(request.getConnectionId(), request.getStatementId());
      }
      case "ExecuteBatchRequest" -> {
        var request = Requests.ExecuteBatchRequest.parseFrom(body);
        yield Ids.of(request.getConnectionId(), request.getStatementId());
      }
      default -> Ids.NONE;
    };
  }

  private static Ids responseIds(String type, ByteString body)
      throws InvalidProtocolBufferException {
    return switch (type) {
      case "PrepareResponse" ->
          Ids.of(Responses.PrepareResponse.parseFrom(body).getStatement().getConnectionId());
      case "CreateStatementResponse" ->
          Ids.of(Responses.CreateStatementResponse.parseFrom(body).getConnectionId());
      case EXECUTE -> {
        var results = Responses.ExecuteResponse.parseFrom(body).getResultsList();
        yield results.isEmpty()
            ? Ids.NONE
            : Ids.of(results.get(0).getConnectionId(), results.get(0).getStatementId());
      }
      case EXECUTE_BATCH -> {
        var batch = Responses.ExecuteBatchResponse.parseFrom(body);
        yield Ids.of(batch.getConnectionId(), batch.getStatementId());
      }
      default -> Ids.NONE;
    };
  }
}
