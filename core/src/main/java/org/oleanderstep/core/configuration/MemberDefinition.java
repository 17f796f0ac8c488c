package org.oleanderstep.core.configuration;

import org.oleanderstep.core.model.MemberId;

/**
 * A declared member of a database group.
 *
 * @param jdbcUrl JDBC URL, without credentials
 * @param controlAddress host and port of the endpoint for terms, positions and promotion
 */
public record MemberDefinition(
    String name, String failureDomain, String jdbcUrl, String controlAddress) {

  /** Returns the name as an id. */
  public MemberId id() {
    return new MemberId(name);
  }
}
