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
 * <p>Not thread-safe, except for {@link #abort}, which any thread may call.
 */
public final class TargetConnection {

  private static final Logger LOG = LogManager.getLogger(TargetConnection.class);
  private static final String AVATICA_PREFIX = "jdbc:avatica:remote:";
  private static final int MAX_CACHED_STATEMENTS = 32;

  private final MemberId member;
  private final String incarnation;
  private final Connection jdbc;
  private final int defaultIsolation;
  private final String defaultSchema;
  private final String defaultCatalog;
  private final Map<String, PreparedStatement> prepareCached = new LinkedHashMap<>(16, 0.75f, true);
  private ConnectionState state = ConnectionState.DEFAULT;
  private boolean stateUncertain;
  private Statement plainStatement;
  private boolean transactionEnded = true;
  private volatile TargetCall call;
  private volatile boolean broken;

  private TargetConnection(MemberId member, String incarnation, Connection jdbc)
      throws SQLException {
    this.member = member;
    this.incarnation = incarnation;
    this.jdbc = jdbc;
    this.defaultIsolation = jdbc.getTransactionIsolation();
    this.defaultSchema = nullToEmpty(jdbc.getSchema());
    this.defaultCatalog = nullToEmpty(jdbc.getCatalog());
  }

  private static String nullToEmpty(String value) {
    return value == null ? "" : value;
  }

  /** Opens a connection with the account of the proxy. */
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

  /** Returns the member to which the connection is open. */
  public MemberId member() {
    return member;
  }

  /** Returns the incarnation that the member had when the connection was opened. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns the JDBC connection, for metadata. */
  public Connection jdbc() {
    return jdbc;
  }

  /** Starts the JDBC calls of a request, which must all end within the limit. */
  public void beginRequest(Duration limit) {
    call = TargetCall.begin(limit);
  }

  /** Returns whether a call of the request may have reached the member but got no response. */
  public boolean isResponseLost() {
    TargetCall last = call;
    return broken || (last != null && last.isResponseLost());
  }

  /** Returns the log position in the member's last response to the current request. */
  public Optional<GroupPosition> lastPosition() {
    TargetCall last = call;
    return last == null ? Optional.empty() : last.position().flatMap(GroupPosition::parse);
  }

  /** Returns the current settings of the connection. */
  public ConnectionState state() {
    return state;
  }

  /**
   * Changes the settings that differ from the given ones. If that fails, some of them may have
   * changed, and the connection is not used for another request.
   */
  public void apply(ConnectionState wanted) throws SQLException {
    if (wanted.equals(state)) {
      return;
    }
    stateUncertain = true;
    change(wanted);
    state = wanted;
    stateUncertain = false;
  }

  private void change(ConnectionState wanted) throws SQLException {
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
    // The Avatica driver sends changed settings only when the next statement is created or
    // prepared,
    // so a prepared statement that is executed again would run in the old commit mode. Reading a
    // setting makes the driver send them at once.
    if (jdbc.getAutoCommit() != wanted.autoCommit()) {
      throw new SQLException("the member did not apply the commit mode", "08006");
    }
  }

  /**
   * Returns the shared statement for SQL without parameters; each execution closes the result of
   * the previous one.
   */
  public Statement plainStatement() throws SQLException {
    transactionEnded = false;
    if (plainStatement == null) {
      plainStatement = jdbc.createStatement();
    }
    return plainStatement;
  }

  /** Returns a new statement, whose result may stay open alongside others. */
  public Statement newStatement() throws SQLException {
    transactionEnded = false;
    return jdbc.createStatement();
  }

  /**
   * Returns the prepared statement for an SQL text from the cache of the connection; prepares it if
   * it is missing, and closes the least recently used one if the cache is full.
   */
  public PreparedStatement prepareCached(String sql) throws SQLException {
    transactionEnded = false;
    PreparedStatement known = prepareCached.get(sql);
    if (known != null) {
      return known;
    }
    if (prepareCached.size() >= MAX_CACHED_STATEMENTS) {
      var eldest = prepareCached.entrySet().iterator().next();
      prepareCached.remove(eldest.getKey());
      eldest.getValue().close();
    }
    PreparedStatement created = jdbc.prepareStatement(sql);
    prepareCached.put(sql, created);
    return created;
  }

  /** Closes and removes a cached statement that failed, so that its next use prepares it again. */
  public void discardPrepared(String sql) {
    PreparedStatement known = prepareCached.remove(sql);
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

  /**
   * Returns whether the connection is in its default state, so that a reset needs no call to the
   * member.
   */
  boolean isInDefaultState() {
    return !isResponseLost() && !stateUncertain && state.equals(ConnectionState.DEFAULT);
  }

  /**
   * Resets the connection to its default state.
   *
   * @return false if the state is uncertain; the connection must then be closed
   */
  boolean reset(Duration limit) {
    if (isResponseLost() || stateUncertain) {
      return false;
    }
    try {
      beginRequest(limit);
      if (!state.autoCommit() && !transactionEnded) {
        jdbc.rollback();
      }
      apply(ConnectionState.DEFAULT);
      return !isResponseLost();
    } catch (SQLException | RuntimeException e) {
      LOG.debug("a connection to member {} could not be reset; closing it", member);
      return false;
    } finally {
      call = null;
    }
  }

  /** Marks the connection as unusable, because a response may still arrive on it. */
  public void markBroken() {
    broken = true;
  }

  /** Aborts the call in progress and marks the connection as unusable; callable from any thread. */
  public void abort() {
    broken = true;
    TargetCall running = call;
    if (running != null) {
      running.abort();
    }
  }

  /** Closes the connection, which also ends an open transaction. */
  void close() {
    TargetCall.begin(Duration.ofSeconds(1));
    closeQuietly(jdbc);
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      LOG.debug(
          "a {} could not be closed", resource.getClass().getSimpleName().toLowerCase(Locale.ROOT));
    }
  }
}
