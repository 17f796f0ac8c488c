package org.oleanderstep.core.placement;

import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains to whose members nothing may be sent, because an operator evacuates them.
 *
 * <pre>{@code
 * EvacuatedDomains evacuated = new EvacuatedDomains(Set.of("domain-a"));
 * MemberAccess access = evacuated.accessTo("domain-a"); // EVACUATED
 * }</pre>
 *
 * @param names the names of the failure domains
 */
public record EvacuatedDomains(Set<String> names) {

  /** No failure domain is evacuated. */
  public static final EvacuatedDomains NONE = new EvacuatedDomains(Set.of());

  /** Makes a defensive copy of the names. */
  public EvacuatedDomains {
    names = Set.copyOf(names);
  }

  /** Returns what may be done with the members of a failure domain. */
  public MemberAccess accessTo(String failureDomain) {
    return names.contains(failureDomain) ? MemberAccess.EVACUATED : MemberAccess.OPEN;
  }

  /** Returns the failure domains that are evacuated here and were not before, in order of name. */
  public Set<String> begunSince(EvacuatedDomains before) {
    Set<String> begun = new TreeSet<>(names);
    begun.removeAll(before.names);
    return begun;
  }
}
