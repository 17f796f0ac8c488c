package org.oleanderstep.proxy.internal.target;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.client.TargetCall;
import org.oleanderstep.client.TargetHttpClient;
import org.oleanderstep.core.model.MemberId;

/**
 * A JDBC connection to one incarnation of a member, used by one request or transaction at a time.
 *
 * <p>Not safe for use by several threads at once, except {@link #abort}.
 */
public final class TargetConnection {

  private static final Logger LOG = LogManager.getLogger(TargetConnection.class);
  private static final String AVATICA_PREFIX = "jdbc:avatica:remote:";
  private static final int CACHED_STATEMENTS = 32;

  private final MemberId member;
  private final String incarnation;
  private final Connection jdbc;
  private final int defaultIsolation;
  private final String defaultSchema;
  private final String defaultCatalog;
  private final Map<String, PreparedStatement> prepared = new LinkedHashMap<>(16, 0.75f, true);
  private ConnectionState state = ConnectionState.RESET;
  private Statement plain;
  private boolean transactionEnded = true;
  private volatile TargetCall call;
  private volatile boolean broken;

  private TargetConnection(MemberId member, String incarnation, Connection jdbc)
      throws SQLException {
    this.member = member;
    this.incarnation = incarnation;
    this.jdbc = jdbc;
    this.defaultIsolation = jdbc.getTransactionIsolation();
    this.defaultSchema = text(jdbc.getSchema());
    this.defaultCatalog = text(jdbc.getCatalog());
  }

  private static String text(String value) {
    return value == null ? "" : value;
  }

  /** Opens a connection with the proxy's own account. */
  static TargetConnection open(
      MemberId member, String incarnation, String jdbcUrl, TargetAccount account, Duration limit)
      throws SQLException {
    Properties properties = new Properties();
    if (jdbcUrl.startsWith(AVATICA_PREFIX)) {
      properties.setProperty("serialization", "protobuf");
      properties.setProperty("authentication", "BASIC");
      properties.setProperty("avatica_user", account.user());
      properties.setProperty("avatica_password", account.password());
      properties.setProperty("httpclient_impl", TargetHttpClient.class.getName());
    } else {
      properties.setProperty("user", account.user());
      properties.setProperty("password", account.password());
    }
    TargetCall.begin(limit);
    Connection jdbc = DriverManager.getConnection(jdbcUrl, properties);
    try {
      return new TargetConnection(member, incarnation, jdbc);
    } catch (SQLException | RuntimeException e) {
      closeQuietly(jdbc);
      throw e;
    }
  }

  /** Returns the member that the connection leads to. */
  public MemberId member() {
    return member;
  }

  /** Returns the incarnation of the member when the connection was opened. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns the JDBC connection, for metadata. */
  public Connection jdbc() {
    return jdbc;
  }

  /** Starts the JDBC calls of one request; they must end within the limit. */
  public void begin(Duration limit) {
    call = TargetCall.begin(limit);
  }

  /** Returns whether a call of the request may have reached the member without an answer. */
  public boolean isLost() {
    TargetCall last = call;
    return broken || (last != null && last.isLost());
  }

  /** Returns the log position of the member's last answer to the present request. */
  public Optional<GroupPosition> position() {
    TargetCall last = call;
    return last == null ? Optional.empty() : last.position().flatMap(GroupPosition::parse);
  }

  /** Returns the settings that the connection has. */
  public ConnectionState state() {
    return state;
  }

  /** Changes the settings that differ from the wanted ones. */
  public void apply(ConnectionState wanted) throws SQLException {
    if (wanted.equals(state)) {
      return;
    }
    if (wanted.autoCommit() != state.autoCommit()) {
      jdbc.setAutoCommit(wanted.autoCommit());
    }
    if (wanted.readOnly() != state.readOnly()) {
      jdbc.setReadOnly(wanted.readOnly());
    }
    if (wanted.isolation() != state.isolation()) {
      jdbc.setTransactionIsolation(wanted.isolation() == 0 ? defaultIsolation : wanted.isolation());
    }
    if (!wanted.schema().equals(state.schema())) {
      jdbc.setSchema(wanted.schema().isEmpty() ? defaultSchema : wanted.schema());
    }
    if (!wanted.catalog().equals(state.catalog())) {
      jdbc.setCatalog(wanted.catalog().isEmpty() ? defaultCatalog : wanted.catalog());
    }
    // The Avatica driver keeps settings to itself until the next statement is created or prepared;
    // a prepared statement that is only executed again would run in the old commit mode. Asking for
    // a setting makes the driver send them.
    if (jdbc.getAutoCommit() != wanted.autoCommit()) {
      throw new SQLException("the member did not take the commit mode", "08006");
    }
    state = wanted;
  }

  /** Returns the statement for text without parameters; each use ends the result of the last. */
  public Statement plainStatement() throws SQLException {
    transactionEnded = false;
    if (plain == null) {
      plain = jdbc.createStatement();
    }
    return plain;
  }

  /** Returns a new statement whose result may stay open beside others. */
  public Statement newStatement() throws SQLException {
    transactionEnded = false;
    return jdbc.createStatement();
  }

  /** Returns a prepared statement that is kept for further uses of the same text. */
  public PreparedStatement prepared(String sql) throws SQLException {
    transactionEnded = false;
    PreparedStatement known = prepared.get(sql);
    if (known != null) {
      return known;
    }
    if (prepared.size() >= CACHED_STATEMENTS) {
      var eldest = prepared.entrySet().iterator().next();
      prepared.remove(eldest.getKey());
      eldest.getValue().close();
    }
    PreparedStatement created = jdbc.prepareStatement(sql);
    prepared.put(sql, created);
    return created;
  }

  /** Removes a prepared statement that failed, so that its next use prepares it again. */
  public void forget(String sql) {
    PreparedStatement known = prepared.remove(sql);
    if (known != null) {
      closeQuietly(known);
    }
  }

  /** Commits the open transaction. */
  public void commit() throws SQLException {
    jdbc.commit();
    transactionEnded = true;
  }

  /** Rolls the open transaction back. */
  public void rollback() throws SQLException {
    jdbc.rollback();
    transactionEnded = true;
  }

  /** Returns whether a reset needs no call to the member. */
  boolean isReset() {
    return !isLost() && state.equals(ConnectionState.RESET);
  }

  /**
   * Returns the connection to the state of a new one. Returns false if that is not certain; then
   * the connection must be closed.
   */
  boolean reset(Duration limit) {
    if (isLost()) {
      return false;
    }
    try {
      begin(limit);
      if (!state.autoCommit() && !transactionEnded) {
        jdbc.rollback();
      }
      apply(ConnectionState.RESET);
      return !isLost();
    } catch (SQLException | RuntimeException e) {
      LOG.debug("a connection to member {} could not be reset", member);
      return false;
    } finally {
      call = null;
    }
  }

  /** Marks the connection as unusable, because an answer may still arrive on it. */
  public void markBroken() {
    broken = true;
  }

  /** Breaks the call that runs now, from another thread. */
  public void abort() {
    broken = true;
    TargetCall running = call;
    if (running != null) {
      running.abort();
    }
  }

  /** Closes the connection; a transaction that is open ends with it. */
  void close() {
    TargetCall.begin(Duration.ofSeconds(1));
    closeQuietly(jdbc);
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      LOG.debug(
          "closing a {} failed", resource.getClass().getSimpleName().toLowerCase(Locale.ROOT));
    }
  }
}
