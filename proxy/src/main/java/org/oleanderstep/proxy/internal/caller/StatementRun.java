package org.oleanderstep.proxy.internal.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.sql.Types;
import java.util.ArrayList;
import java.util.Calendar;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.apache.calcite.avatica.Meta;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Requests;
import org.apache.calcite.avatica.remote.Service;
import org.apache.calcite.avatica.remote.TypedValue;
import org.oleanderstep.core.idempotency.RequestFingerprint;
import org.oleanderstep.core.routing.StatementClassifier;
import org.oleanderstep.core.routing.StatementKind;
import org.oleanderstep.proxy.internal.target.Lease;
import org.oleanderstep.proxy.internal.target.ResultCursor;
import org.oleanderstep.proxy.internal.target.TargetConnection;

/** A statement or batch of a caller, ready to run on a target connection. */
final class StatementRun {

  private final String connectionId;
  private final int statementId;
  private final CallerStatement statement;
  private final List<String> texts;
  private final List<List<TypedValue>> parameters;
  private final boolean prepared;
  private final boolean batch;
  private final long maxRows;
  private final int frameRows;
  private final Service.RpcMetadataResponse metadata;

  private StatementRun(Builder builder, List<String> texts, List<List<TypedValue>> parameters) {
    this.connectionId = builder.connectionId;
    this.statementId = builder.statementId;
    this.statement = builder.statement;
    this.metadata = builder.metadata;
    this.prepared = builder.prepared;
    this.batch = builder.batch;
    this.maxRows = builder.maxRows;
    this.frameRows = builder.frameRows;
    this.texts = texts;
    this.parameters = parameters;
  }

  /** Collects the values that all kinds of statements share. */
  static final class Builder {
    private final String connectionId;
    private final int statementId;
    private final CallerStatement statement;
    private final Service.RpcMetadataResponse metadata;
    private boolean prepared;
    private boolean batch;
    private long maxRows;
    private int frameRows = 100;

    Builder(
        String connectionId,
        int statementId,
        CallerStatement statement,
        Service.RpcMetadataResponse metadata) {
      this.connectionId = connectionId;
      this.statementId = statementId;
      this.statement = statement;
      this.metadata = metadata;
    }

    /**
     * Limits the rows of the result and of its first frame.
     *
     * @param total zero or less for no limit
     */
    Builder rows(long total, int firstFrame) {
      maxRows = total;
      frameRows = firstFrame;
      return this;
    }

    StatementRun plain(String sql) {
      return new StatementRun(this, List.of(sql), List.of());
    }

    StatementRun prepared(String sql, List<TypedValue> values) {
      prepared = true;
      return new StatementRun(this, List.of(sql), List.of(values));
    }

    StatementRun plainBatch(List<String> texts) {
      batch = true;
      return new StatementRun(this, List.copyOf(texts), List.of());
    }

    StatementRun preparedBatch(String sql, List<List<TypedValue>> values) {
      prepared = true;
      batch = true;
      return new StatementRun(this, List.of(sql), values);
    }
  }

  /** Returns the kind with the strongest effect among the statements of a batch. */
  StatementKind kind() {
    StatementKind strongest = StatementKind.READ;
    for (String text : texts) {
      StatementKind kind = StatementClassifier.classify(text);
      strongest = kind.compareTo(strongest) > 0 ? kind : strongest;
    }
    return strongest;
  }

  CallerStatement statement() {
    return statement;
  }

  int maxTextLength() {
    return texts.stream().mapToInt(String::length).max().orElse(0);
  }

  /** Returns the fingerprint that detects another request with the same request id. */
  RequestFingerprint fingerprint() {
    List<byte[]> values = new ArrayList<>();
    for (List<TypedValue> row : parameters) {
      row.forEach(value -> values.add(value == null ? null : value.toProto().toByteArray()));
    }
    texts.stream().skip(1).forEach(text -> values.add(text.getBytes(StandardCharsets.UTF_8)));
    return RequestFingerprint.of(texts.get(0), values);
  }

  /**
   * Runs the statement. A result that does not fit into the first frame stays open as the
   * statement's cursor.
   *
   * @param ownConnection whether the lease is released when an open result is closed
   * @param otherCursors whether other statements have open results on the same connection
   */
  Service.Response run(Lease lease, boolean ownConnection, boolean otherCursors)
      throws SQLException {
    if (batch) {
      return new Service.ExecuteBatchResponse(
          connectionId, statementId, runBatch(lease.connection()), false, metadata);
    }
    return prepared
        ? runPrepared(lease, ownConnection, otherCursors)
        : runPlain(lease, ownConnection, otherCursors);
  }

  private Service.Response runPlain(Lease lease, boolean ownConnection, boolean otherCursors)
      throws SQLException {
    TargetConnection connection = lease.connection();
    Statement jdbc = otherCursors ? connection.newStatement() : connection.plainStatement();
    boolean hasRows = jdbc.execute(texts.get(0));
    return buildResponse(jdbc, hasRows, lease, ownConnection, otherCursors);
  }

  private Service.Response runPrepared(Lease lease, boolean ownConnection, boolean otherCursors)
      throws SQLException {
    TargetConnection connection = lease.connection();
    String sql = texts.get(0);
    PreparedStatement jdbc =
        otherCursors ? connection.jdbc().prepareStatement(sql) : connection.prepareCached(sql);
    try {
      bind(jdbc, parameters.get(0));
      return buildResponse(jdbc, jdbc.execute(), lease, ownConnection, otherCursors);
    } catch (SQLException e) {
      connection.discardPrepared(sql);
      throw e;
    }
  }

  private Service.Response buildResponse(
      Statement jdbc, boolean hasRows, Lease lease, boolean ownConnection, boolean ownStatement)
      throws SQLException {
    if (!hasRows) {
      long count = jdbc.getLargeUpdateCount();
      if (ownStatement) {
        jdbc.close();
      }
      return new Service.ExecuteResponse(
          List.of(
              new Service.ResultSetResponse(
                  connectionId, statementId, true, null, null, Math.max(0, count), metadata)),
          false,
          metadata);
    }
    ResultCursor rows = ResultCursor.of(jdbc.getResultSet(), texts.get(0), maxRows);
    Meta.Frame first = rows.nextFrame(frameRows);
    if (first.done) {
      rows.close(ownStatement);
    } else {
      statement.setCursor(new CallerStatement.Cursor(rows, lease, ownConnection, ownStatement));
    }
    return new Service.ExecuteResponse(
        List.of(
            new Service.ResultSetResponse(
                connectionId, statementId, true, rows.signature(), first, -1, metadata)),
        false,
        metadata);
  }

  private long[] runBatch(TargetConnection connection) throws SQLException {
    if (!prepared) {
      try (Statement jdbc = connection.newStatement()) {
        for (String text : texts) {
          jdbc.addBatch(text);
        }
        return toLongs(jdbc.executeBatch());
      }
    }
    PreparedStatement jdbc = connection.prepareCached(texts.get(0));
    try {
      for (List<TypedValue> row : parameters) {
        bind(jdbc, row);
        jdbc.addBatch();
      }
      return toLongs(jdbc.executeBatch());
    } catch (SQLException e) {
      connection.discardPrepared(texts.get(0));
      throw e;
    }
  }

  private static long[] toLongs(int[] counts) {
    LongStream.Builder longs = LongStream.builder();
    for (int count : counts) {
      longs.add(count);
    }
    return longs.build().toArray();
  }

  private static void bind(PreparedStatement jdbc, List<TypedValue> values) throws SQLException {
    Calendar calendar = Calendar.getInstance(Locale.ROOT);
    for (int i = 0; i < values.size(); i++) {
      TypedValue value = values.get(i);
      Object object = value == null ? null : value.toJdbc(calendar);
      if (object == null) {
        jdbc.setNull(i + 1, Types.NULL);
      } else {
        jdbc.setObject(i + 1, object);
      }
    }
  }

  /** Converts the parameters of a batch to one list of values for each row. */
  static List<List<TypedValue>> rows(List<Requests.UpdateBatch> batches) {
    List<List<TypedValue>> rows = new ArrayList<>();
    for (Requests.UpdateBatch batch : batches) {
      List<TypedValue> row = new ArrayList<>();
      for (Common.TypedValue value : batch.getParameterValuesList()) {
        row.add(TypedValue.fromProto(value));
      }
      rows.add(row);
    }
    return rows;
  }

  /** Returns a recorded response with the ids of this call. */
  Service.Response replay(Service.Response recorded) {
    if (recorded instanceof Service.ExecuteBatchResponse response) {
      return new Service.ExecuteBatchResponse(
          connectionId, statementId, response.updateCounts, false, metadata);
    }
    if (recorded instanceof Service.ExecuteResponse response) {
      return new Service.ExecuteResponse(
          response.results.stream().map(this::replay).toList(), false, metadata);
    }
    throw new IllegalStateException("the recorded response belongs to another kind of request");
  }

  private Service.ResultSetResponse replay(Service.ResultSetResponse result) {
    return new Service.ResultSetResponse(
        connectionId,
        statementId,
        true,
        result.signature,
        result.firstFrame,
        result.updateCount,
        metadata);
  }

  /** Encodes a response, to be sent or to be recorded with its request id. */
  static byte[] encode(Service.Response response) {
    try {
      return Protocol.TRANSLATION.serializeResponse(response);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
