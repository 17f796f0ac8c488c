package org.oleanderstep.core.configuration;

import org.oleanderstep.core.model.MemberId;

/**
 * A member of a database group.
 *
 * @param jdbcUrl JDBC URL, without credentials
 * @param controlAddress host and port that serve terms, positions and promotion
 */
public record MemberDefinition(
    String name, String failureDomain, String jdbcUrl, String controlAddress) {

  /** Returns the typed name. */
  public MemberId id() {
    return new MemberId(name);
  }
}
