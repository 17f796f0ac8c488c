package org.oleanderstep.proxy.internal.caller;

import java.sql.DatabaseMetaData;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.calcite.avatica.Meta;
import org.apache.calcite.avatica.remote.Service;
import org.oleanderstep.proxy.internal.target.ResultCursor;

/** Serves the calls for the database's metadata: tables, columns, types and properties. */
final class MetadataCalls {

  private static final int MAX_ROWS = 100_000;

  private final StatementExecutor execution;
  private final Service.RpcMetadataResponse metadata;

  MetadataCalls(StatementExecutor execution, Service.RpcMetadataResponse metadata) {
    this.execution = execution;
    this.metadata = metadata;
  }

  /** A query of JDBC metadata. */
  private interface MetadataQuery {
    ResultSet run(DatabaseMetaData metadata) throws SQLException;
  }

  CompletableFuture<Service.Response> handle(
      CallContext call, CallerConnection connection, Service.Request request) {
    if (request instanceof Service.CatalogsRequest) {
      return rows(call, connection, DatabaseMetaData::getCatalogs);
    }
    if (request instanceof Service.SchemasRequest schemas) {
      return rows(
          call, connection, data -> data.getSchemas(schemas.catalog, schemas.schemaPattern));
    }
    if (request instanceof Service.TablesRequest tables) {
      return rows(call, connection, data -> tables(data, tables));
    }
    if (request instanceof Service.TableTypesRequest) {
      return rows(call, connection, DatabaseMetaData::getTableTypes);
    }
    if (request instanceof Service.TypeInfoRequest) {
      return rows(call, connection, DatabaseMetaData::getTypeInfo);
    }
    if (request instanceof Service.ColumnsRequest columns) {
      return rows(
          call,
          connection,
          data ->
              data.getColumns(
                  columns.catalog,
                  columns.schemaPattern,
                  columns.tableNamePattern,
                  columns.columnNamePattern));
    }
    return execution.read(
        call,
        connection,
        target ->
            new Service.DatabasePropertyResponse(
                properties(target.jdbc().getMetaData()), metadata));
  }

  private static ResultSet tables(DatabaseMetaData data, Service.TablesRequest request)
      throws SQLException {
    List<String> types = request.typeList;
    return data.getTables(
        request.catalog,
        request.schemaPattern,
        request.tableNamePattern,
        types == null ? null : types.toArray(new String[0]));
  }

  private CompletableFuture<Service.Response> rows(
      CallContext call, CallerConnection connection, MetadataQuery query) {
    int statementId = connection.add(new CallerStatement(""));
    return execution.read(
        call,
        connection,
        target -> {
          try (ResultSet rows = query.run(target.jdbc().getMetaData())) {
            ResultCursor cursor = ResultCursor.of(rows, "", MAX_ROWS);
            Meta.Frame all = cursor.readAll();
            return new Service.ResultSetResponse(
                connection.id().id(), statementId, true, cursor.signature(), all, -1, metadata);
          }
        });
  }

  private static Map<Meta.DatabaseProperty, Object> properties(DatabaseMetaData data)
      throws SQLException {
    Map<Meta.DatabaseProperty, Object> values = new EnumMap<>(Meta.DatabaseProperty.class);
    values.put(Meta.DatabaseProperty.GET_NUMERIC_FUNCTIONS, data.getNumericFunctions());
    values.put(Meta.DatabaseProperty.GET_STRING_FUNCTIONS, data.getStringFunctions());
    values.put(Meta.DatabaseProperty.GET_SYSTEM_FUNCTIONS, data.getSystemFunctions());
    values.put(Meta.DatabaseProperty.GET_TIME_DATE_FUNCTIONS, data.getTimeDateFunctions());
    values.put(Meta.DatabaseProperty.GET_S_Q_L_KEYWORDS, data.getSQLKeywords());
    values.put(
        Meta.DatabaseProperty.GET_DEFAULT_TRANSACTION_ISOLATION,
        data.getDefaultTransactionIsolation());
    values.put(Meta.DatabaseProperty.GET_DATABASE_PRODUCT_NAME, data.getDatabaseProductName());
    values.put(
        Meta.DatabaseProperty.GET_DATABASE_PRODUCT_VERSION, data.getDatabaseProductVersion());
    values.put(Meta.DatabaseProperty.GET_DATABASE_MAJOR_VERSION, data.getDatabaseMajorVersion());
    values.put(Meta.DatabaseProperty.GET_DATABASE_MINOR_VERSION, data.getDatabaseMinorVersion());
    values.put(Meta.DatabaseProperty.GET_DRIVER_NAME, data.getDriverName());
    values.put(Meta.DatabaseProperty.GET_DRIVER_VERSION, data.getDriverVersion());
    values.put(Meta.DatabaseProperty.GET_DRIVER_MAJOR_VERSION, data.getDriverMajorVersion());
    values.put(Meta.DatabaseProperty.GET_DRIVER_MINOR_VERSION, data.getDriverMinorVersion());
    return values;
  }
}
