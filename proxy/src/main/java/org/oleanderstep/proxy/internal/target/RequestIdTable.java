package org.oleanderstep.proxy.internal.target;

import java.nio.ByteBuffer;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.sql.Timestamp;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.oleanderstep.core.idempotency.RecordedRequest;
import org.oleanderstep.core.idempotency.RequestFingerprint;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Access to the table of request ids in a target database.
 *
 * <p>A row is inserted in the transaction of its request, so the request commits if and only if the
 * row does, and a second insert of the same id cannot commit.
 */
public final class RequestIdTable {

  /** Maximum size of a recorded response in bytes. */
  public static final int MAX_RESPONSE_BYTES = 1 << 20;

  private static final String TABLE = "oleanderstep_requests";
  private static final String CREATE =
      "create table if not exists "
          + TABLE
          + " (organisation varchar(256) not null, request_id varchar(128) not null,"
          + " fingerprint varchar(64) not null, outcome varchar(16) not null, answer varbinary("
          + MAX_RESPONSE_BYTES
          + "), recorded_at timestamp not null, primary key (organisation, request_id))";
  private static final String INSERT =
      "insert into "
          + TABLE
          + " (organisation, request_id, fingerprint, outcome, answer, recorded_at)"
          + " values (?, ?, ?, ?, ?, ?)";
  private static final String UPDATE_RESPONSE =
      "update " + TABLE + " set answer = ? where organisation = ? and request_id = ?";
  private static final String FIND =
      "select fingerprint, outcome, answer from "
          + TABLE
          + " where organisation = ? and request_id = ?";
  private static final String FIND_OLD =
      "select organisation, request_id from " + TABLE + " where recorded_at < ?";
  private static final String DELETE =
      "delete from " + TABLE + " where organisation = ? and request_id = ? and recorded_at < ?";
  private static final String INTEGRITY_VIOLATION_CLASS = "23";
  private static final String TABLE_NOT_FOUND_PREFIX = "42S0";

  private RequestIdTable() {}

  /** Creates the table if it does not exist. Must not be called within a transaction. */
  public static void createIfMissing(TargetConnection connection) throws SQLException {
    try (Statement statement = connection.newStatement()) {
      statement.executeUpdate(CREATE);
    }
  }

  /**
   * Inserts the id of a request in the open transaction. Blocks while another open transaction has
   * inserted the same id.
   *
   * @return false if the id already exists; the transaction must then be rolled back
   */
  public static boolean insert(
      TargetConnection connection,
      OrganisationId organisation,
      String requestId,
      RequestFingerprint fingerprint,
      RecordedRequest.Result result,
      Instant now)
      throws SQLException {
    PreparedStatement insert = connection.prepareCached(INSERT);
    insert.setString(1, organisation.name());
    insert.setString(2, requestId);
    insert.setString(3, fingerprint.hex());
    insert.setString(4, result.name());
    insert.setBytes(5, new byte[0]);
    insert.setTimestamp(6, Timestamp.from(now));
    try {
      insert.executeUpdate();
      return true;
    } catch (SQLException e) {
      if (hasSqlStatePrefix(e, INTEGRITY_VIOLATION_CLASS)) {
        return false;
      }
      connection.discardPrepared(INSERT);
      throw e;
    }
  }

  /** Records the response to the request whose id was inserted in the open transaction. */
  public static void record(
      TargetConnection connection, OrganisationId organisation, String requestId, byte[] response)
      throws SQLException {
    PreparedStatement record = connection.prepareCached(UPDATE_RESPONSE);
    record.setBytes(1, response);
    record.setString(2, organisation.name());
    record.setString(3, requestId);
    if (record.executeUpdate() != 1) {
      throw new SQLException(
          "the row of the request id is missing in the transaction that inserted it", "40001");
    }
  }

  /** Returns the committed row of a request id. */
  public static Optional<RecordedRequest> find(
      TargetConnection connection, OrganisationId organisation, String requestId)
      throws SQLException {
    PreparedStatement find = connection.prepareCached(FIND);
    find.setString(1, organisation.name());
    find.setString(2, requestId);
    try (ResultSet rows = find.executeQuery()) {
      if (!rows.next()) {
        return Optional.empty();
      }
      byte[] response = rows.getBytes(3);
      return Optional.of(
          new RecordedRequest(
              new RequestFingerprint(rows.getString(1)),
              RecordedRequest.Result.valueOf(rows.getString(2).strip().toUpperCase(Locale.ROOT)),
              ByteBuffer.wrap(response == null ? new byte[0] : response)));
    }
  }

  /**
   * Deletes up to {@code limit} rows that were recorded before the given time.
   *
   * @return number of deleted rows
   */
  public static int purge(TargetConnection connection, Instant before, int limit)
      throws SQLException {
    Timestamp oldest = Timestamp.from(before);
    List<String[]> old = new ArrayList<>();
    PreparedStatement find = connection.prepareCached(FIND_OLD);
    find.setMaxRows(limit);
    find.setTimestamp(1, oldest);
    try (ResultSet rows = find.executeQuery()) {
      while (old.size() < limit && rows.next()) {
        old.add(new String[] {rows.getString(1), rows.getString(2)});
      }
    }
    PreparedStatement delete = connection.prepareCached(DELETE);
    for (String[] key : old) {
      delete.setString(1, key[0]);
      delete.setString(2, key[1]);
      delete.setTimestamp(3, oldest);
      delete.executeUpdate();
    }
    return old.size();
  }

  /** Returns whether the error says that the table does not exist. */
  public static boolean isTableMissing(SQLException e) {
    return hasSqlStatePrefix(e, TABLE_NOT_FOUND_PREFIX);
  }

  private static boolean hasSqlStatePrefix(SQLException e, String prefix) {
    return e.getSQLState() != null && e.getSQLState().startsWith(prefix);
  }
}
