package org.oleanderstep.proxy.internal.target;

import java.sql.Connection;

/**
 * Settings of a JDBC connection that a statement needs.
 *
 * @param isolation constant of {@link Connection}, zero for the default of the database
 * @param schema empty for the default of the database
 */
public record ConnectionState(
    boolean autoCommit, boolean readOnly, int isolation, String schema, String catalog) {

  /** State of an idle pooled connection. */
  public static final ConnectionState DEFAULT = new ConnectionState(true, false, 0, "", "");

  /** Returns a copy with the given commit mode. */
  public ConnectionState withAutoCommit(boolean value) {
    return new ConnectionState(value, readOnly, isolation, schema, catalog);
  }
}
