package org.oleanderstep.core.failover;

/** Role that a member of a database group reports. */
public enum MemberRole {
  PRIMARY,
  REPLICA,
  /** The member rebuilds its data and serves no statement. */
  JOINING
}
