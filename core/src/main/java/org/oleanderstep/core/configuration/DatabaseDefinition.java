package org.oleanderstep.core.configuration;

import java.util.List;

/**
 * A declared database and the members that replicate it.
 *
 * @param slots maximum number of statements that one member runs concurrently
 * @param connections maximum number of connections that one member accepts from all VMs together
 */
public record DatabaseDefinition(
    String name, List<MemberDefinition> members, int slots, int connections) {

  /** Copies the list of members. */
  public DatabaseDefinition {
    members = List.copyOf(members);
  }
}
