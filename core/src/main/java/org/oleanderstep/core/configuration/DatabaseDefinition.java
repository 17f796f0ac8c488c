package org.oleanderstep.core.configuration;

import java.util.List;

/**
 * A database with its replicated members.
 *
 * @param slots statements that one member runs at the same time
 * @param connections connections that one member accepts from all VMs together
 */
public record DatabaseDefinition(
    String name, List<MemberDefinition> members, int slots, int connections) {

  /** Copies the list of members. */
  public DatabaseDefinition {
    members = List.copyOf(members);
  }
}
