package org.oleanderstep.standins.member.internal;

import java.sql.DatabaseMetaData;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Savepoint;
import java.util.ArrayList;
import java.util.Calendar;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.calcite.avatica.AvaticaSeverity;
import org.apache.calcite.avatica.MetaImpl;
import org.apache.calcite.avatica.MissingResultsException;
import org.apache.calcite.avatica.NoSuchStatementException;
import org.apache.calcite.avatica.QueryState;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Requests;
import org.apache.calcite.avatica.remote.AvaticaRuntimeException;
import org.apache.calcite.avatica.remote.ProtobufMeta;
import org.apache.calcite.avatica.remote.TypedValue;
import org.h2.api.ErrorCode;

/** Runs the calls of the Avatica protocol on the sessions of a member. */
final class MemberMeta extends MetaImpl implements ProtobufMeta {

  private static final int DEFAULT_FRAME_ROWS = 100;

  private final SqlSessions sessions;

  MemberMeta(SqlSessions sessions) {
    super(null);
    this.sessions = sessions;
  }

  /** A call that may fail in the database. */
  private interface Call<T> {
    T run() throws SQLException;
  }

  /** Passes on the SQLSTATE of a failure, and leaves a commit of unknown outcome unanswered. */
  private static <T> T answer(Call<T> call) {
    try {
      return call.run();
    } catch (SQLException e) {
      String state = e.getSQLState() == null ? "HY000" : e.getSQLState();
      throw new AvaticaRuntimeException(
          e.getMessage(), e.getErrorCode(), state, AvaticaSeverity.ERROR);
    } catch (OutcomeUnknownException e) {
      RequestContext.current().leaveUnanswered();
      throw e;
    }
  }

  private SqlSession session(String connectionId) {
    return sessions.use(connectionId, RequestContext.current().channel());
  }

  private SqlStatement statement(SqlSession session, StatementHandle handle)
      throws NoSuchStatementException {
    SqlStatement statement = session.statement(handle.id);
    if (statement == null) {
      throw new NoSuchStatementException(handle);
    }
    return statement;
  }

  // Connections

  @Override
  public void openConnection(ConnectionHandle handle, Map<String, String> info) {
    answer(
        () -> {
          sessions.open(handle.id, RequestContext.current().channel());
          return null;
        });
  }

  @Override
  public void closeConnection(ConnectionHandle handle) {
    sessions.close(handle.id);
  }

  @Override
  public ConnectionProperties connectionSync(
      ConnectionHandle handle, ConnectionProperties properties) {
    SqlSession session = session(handle.id);
    return answer(() -> session.synchronize(properties));
  }

  @Override
  public void commit(ConnectionHandle handle) {
    SqlSession session = session(handle.id);
    answer(
        () -> {
          session.commit();
          return null;
        });
  }

  @Override
  public void rollback(ConnectionHandle handle) {
    SqlSession session = session(handle.id);
    answer(
        () -> {
          session.rollback();
          return null;
        });
  }

  // Statements

  @Override
  public StatementHandle createStatement(ConnectionHandle handle) {
    SqlStatement statement = session(handle.id).createStatement();
    return new StatementHandle(handle.id, statement.id(), null);
  }

  @Override
  public void closeStatement(StatementHandle handle) {
    SqlSession session = session(handle.connectionId);
    answer(
        () -> {
          session.closeStatement(handle.id);
          return null;
        });
  }

  @Override
  public StatementHandle prepare(ConnectionHandle handle, String sql, long maxRowCount) {
    SqlSession session = session(handle.id);
    return answer(
        () -> {
          SqlStatement statement = session.prepare(sql);
          Signature signature = ResultEncoder.signature(sql, statement.prepared());
          return new StatementHandle(handle.id, statement.id(), signature);
        });
  }

  // Meta still requires the deprecated form.
  @SuppressWarnings("deprecation")
  @Override
  public ExecuteResult prepareAndExecute(
      StatementHandle handle, String sql, long maxRowCount, PrepareCallback callback)
      throws NoSuchStatementException {
    return prepareAndExecute(handle, sql, maxRowCount, DEFAULT_FRAME_ROWS, callback);
  }

  @Override
  public ExecuteResult prepareAndExecute(
      StatementHandle handle,
      String sql,
      long maxRowCount,
      int maxRowsInFirstFrame,
      PrepareCallback callback)
      throws NoSuchStatementException {
    SqlSession session = session(handle.connectionId);
    SqlStatement statement = statement(session, handle);
    return answer(
        () -> {
          session.prepare(statement, sql);
          if (maxRowCount > 0 && statement.prepared() != null) {
            statement.prepared().setMaxRows(Math.toIntExact(maxRowCount));
          }
          return execute(session, statement, handle, maxRowsInFirstFrame);
        });
  }

  // Meta still requires the deprecated form.
  @SuppressWarnings("deprecation")
  @Override
  public ExecuteResult execute(
      StatementHandle handle, List<TypedValue> parameters, long maxRowCount)
      throws NoSuchStatementException {
    return execute(handle, parameters, Math.toIntExact(maxRowCount));
  }

  @Override
  public ExecuteResult execute(
      StatementHandle handle, List<TypedValue> parameters, int maxRowsInFirstFrame)
      throws NoSuchStatementException {
    SqlSession session = session(handle.connectionId);
    SqlStatement statement = statement(session, handle);
    return answer(
        () -> {
          bind(statement.prepared(), parameters);
          return execute(session, statement, handle, maxRowsInFirstFrame);
        });
  }

  private static void bind(PreparedStatement statement, List<TypedValue> parameters)
      throws SQLException {
    Calendar calendar = Calendar.getInstance(Locale.ROOT);
    for (int i = 0; i < parameters.size(); i++) {
      TypedValue value = parameters.get(i);
      statement.setObject(i + 1, value == null ? null : value.toJdbc(calendar));
    }
  }

  private static ExecuteResult execute(
      SqlSession session, SqlStatement statement, StatementHandle handle, int maxRows)
      throws SQLException {
    MetaResultSet done = MetaResultSet.count(handle.connectionId, handle.id, 0);
    MetaResultSet result =
        session.execute(statement, () -> executePrepared(statement, handle, maxRows), done);
    return new ExecuteResult(List.of(result));
  }

  private static MetaResultSet executePrepared(
      SqlStatement statement, StatementHandle handle, int maxRows) throws SQLException {
    PreparedStatement prepared = statement.prepared();
    if (!prepared.execute()) {
      statement.setRows(null);
      return MetaResultSet.count(handle.connectionId, handle.id, prepared.getLargeUpdateCount());
    }
    statement.setRows(prepared.getResultSet());
    Signature signature = ResultEncoder.signature(statement.text().sql(), statement.rows());
    Frame frame = nextFrame(statement, maxRows);
    return MetaResultSet.create(handle.connectionId, handle.id, false, signature, frame);
  }

  private static Frame nextFrame(SqlStatement statement, int maxRows) throws SQLException {
    int limit = maxRows == 0 ? DEFAULT_FRAME_ROWS : maxRows;
    Frame frame = ResultEncoder.frame(statement.rows(), statement.fetched(), limit);
    statement.addFetched(((List<?>) frame.rows).size());
    return frame;
  }

  @Override
  public Frame fetch(StatementHandle handle, long offset, int maxRows)
      throws NoSuchStatementException, MissingResultsException {
    SqlSession session = session(handle.connectionId);
    SqlStatement statement = statement(session, handle);
    if (statement.rows() == null || statement.fetched() != offset) {
      throw new MissingResultsException(handle);
    }
    return answer(() -> session.fetch(() -> nextFrame(statement, maxRows)));
  }

  // Batches

  @Override
  public ExecuteBatchResult prepareAndExecuteBatch(StatementHandle handle, List<String> commands)
      throws NoSuchStatementException {
    SqlSession session = session(handle.connectionId);
    SqlStatement statement = statement(session, handle);
    return answer(
        () -> {
          long[] counts = new long[commands.size()];
          for (int i = 0; i < counts.length; i++) {
            session.prepare(statement, commands.get(i));
            counts[i] =
                execute(session, statement, handle, DEFAULT_FRAME_ROWS)
                    .resultSets
                    .get(0)
                    .updateCount;
          }
          return new ExecuteBatchResult(counts);
        });
  }

  @Override
  public ExecuteBatchResult executeBatch(StatementHandle handle, List<List<TypedValue>> batches)
      throws NoSuchStatementException {
    SqlSession session = session(handle.connectionId);
    SqlStatement statement = statement(session, handle);
    return answer(
        () -> {
          if (statement.prepared() == null) {
            throw SqlStates.notSupported("batches of definitions");
          }
          long[] counts =
              session.execute(
                  statement,
                  () -> executePreparedBatch(session, statement.prepared(), batches),
                  new long[0]);
          return new ExecuteBatchResult(counts);
        });
  }

  /**
   * Runs a batch as a whole or not at all: the session drops the captured changes of a failed
   * execution, so none of its rows may stay in the database.
   */
  private static long[] executePreparedBatch(
      SqlSession session, PreparedStatement statement, List<List<TypedValue>> batches)
      throws SQLException {
    Savepoint start = session.connection().setSavepoint();
    try {
      long[] counts = new long[batches.size()];
      for (int i = 0; i < counts.length; i++) {
        bind(statement, batches.get(i));
        counts[i] = statement.executeLargeUpdate();
      }
      return counts;
    } catch (SQLException e) {
      if (e.getErrorCode() != ErrorCode.DEADLOCK_1) {
        session.connection().rollback(start);
      }
      throw e;
    }
  }

  @Override
  public ExecuteBatchResult executeBatchProtobuf(
      StatementHandle handle, List<Requests.UpdateBatch> batches) throws NoSuchStatementException {
    List<List<TypedValue>> values = new ArrayList<>();
    for (Requests.UpdateBatch batch : batches) {
      List<TypedValue> row = new ArrayList<>();
      for (Common.TypedValue value : batch.getParameterValuesList()) {
        row.add(TypedValue.fromProto(value));
      }
      values.add(row);
    }
    return executeBatch(handle, values);
  }

  @Override
  public boolean syncResults(StatementHandle handle, QueryState state, long offset) {
    throw new AvaticaRuntimeException(
        "results cannot be opened again; run the statement again",
        -1,
        SqlStates.NOT_SUPPORTED,
        AvaticaSeverity.ERROR);
  }

  // Metadata

  /** Reads a list from the metadata of the database. */
  private interface MetadataQuery {
    ResultSet run(DatabaseMetaData metaData) throws SQLException;
  }

  private MetaResultSet metadata(ConnectionHandle handle, MetadataQuery query) {
    SqlSession session = session(handle.id);
    return answer(
        () ->
            session.fetch(
                () -> {
                  SqlStatement statement = session.createStatement();
                  statement.setRows(query.run(session.connection().getMetaData()));
                  Signature signature = ResultEncoder.signature("", statement.rows());
                  Frame frame = nextFrame(statement, -1);
                  return MetaResultSet.create(handle.id, statement.id(), true, signature, frame);
                }));
  }

  @Override
  public MetaResultSet getTables(
      ConnectionHandle handle,
      String catalog,
      Pat schemaPattern,
      Pat tableNamePattern,
      List<String> types) {
    String[] wanted = types == null ? null : types.toArray(new String[0]);
    return metadata(handle, m -> m.getTables(catalog, schemaPattern.s, tableNamePattern.s, wanted));
  }

  @Override
  public MetaResultSet getColumns(
      ConnectionHandle handle,
      String catalog,
      Pat schemaPattern,
      Pat tableNamePattern,
      Pat columnNamePattern) {
    return metadata(
        handle,
        m -> m.getColumns(catalog, schemaPattern.s, tableNamePattern.s, columnNamePattern.s));
  }

  @Override
  public MetaResultSet getSchemas(ConnectionHandle handle, String catalog, Pat schemaPattern) {
    return metadata(handle, m -> m.getSchemas(catalog, schemaPattern.s));
  }

  @Override
  public MetaResultSet getCatalogs(ConnectionHandle handle) {
    return metadata(handle, DatabaseMetaData::getCatalogs);
  }

  @Override
  public MetaResultSet getTableTypes(ConnectionHandle handle) {
    return metadata(handle, DatabaseMetaData::getTableTypes);
  }

  @Override
  public MetaResultSet getTypeInfo(ConnectionHandle handle) {
    return metadata(handle, DatabaseMetaData::getTypeInfo);
  }
}
