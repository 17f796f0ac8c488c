package org.oleanderstep.core.failover;

/** Role of a member in its database group. */
public enum MemberRole {
  PRIMARY,
  REPLICA,
  /** Rebuilds its data and serves no statements. */
  JOINING
}
