package org.oleanderstep.proxy.internal.caller;

import org.apache.calcite.avatica.remote.Service;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.proxy.internal.target.OutcomeException;

/** Extracts the connection id of a request; Avatica has no common accessor for it. */
final class ConnectionIds {

  private static final int MAX_LENGTH = 256;

  private ConnectionIds() {}

  static String of(Service.Request request) {
    String id = find(request);
    if (id == null || id.isEmpty() || id.length() > MAX_LENGTH) {
      throw OutcomeException.notRun(
          NotRunReason.BAD_REQUEST,
          "the connection id is missing or too long, or the request type is not supported");
    }
    return id;
  }

  private static String find(Service.Request request) {
    if (request instanceof Service.PrepareAndExecuteRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.ExecuteRequest call) {
      return call.statementHandle.connectionId;
    }
    if (request instanceof Service.FetchRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.CreateStatementRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.CloseStatementRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.PrepareRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.ExecuteBatchRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.PrepareAndExecuteBatchRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.SyncResultsRequest call) {
      return call.connectionId;
    }
    return ofConnectionCall(request);
  }

  private static String ofConnectionCall(Service.Request request) {
    if (request instanceof Service.OpenConnectionRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.CloseConnectionRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.ConnectionSyncRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.CommitRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.RollbackRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.DatabasePropertyRequest call) {
      return call.connectionId;
    }
    return ofMetadataCall(request);
  }

  private static String ofMetadataCall(Service.Request request) {
    if (request instanceof Service.CatalogsRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.SchemasRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.TablesRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.TableTypesRequest call) {
      return call.connectionId;
    }
    if (request instanceof Service.TypeInfoRequest call) {
      return call.connectionId;
    }
    return request instanceof Service.ColumnsRequest call ? call.connectionId : null;
  }
}
