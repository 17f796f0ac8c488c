package org.oleanderstep.core.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Differences between two generations of the configuration.
 *
 * @param fromGeneration generation that was in force before, or zero if there was none
 * @param keysWithdrawn ids of keys that are no longer accepted because they were withdrawn,
 *     removed, given another secret or moved to another organisation
 * @param keysAdded ids of keys that were not accepted before
 * @param organisationsChanged organisations whose rate or burst changed
 * @param membersChanged members in both generations whose definition or database changed
 * @param databasesChanged databases in both generations whose members or limits changed
 * @param routesChanged names of routes that were added, removed or changed
 */
public record ConfigurationDiff(
    long fromGeneration,
    long toGeneration,
    Set<String> keysWithdrawn,
    Set<String> keysAdded,
    Set<OrganisationId> organisationsAdded,
    Set<OrganisationId> organisationsRemoved,
    Set<OrganisationId> organisationsChanged,
    Set<MemberId> membersAdded,
    Set<MemberId> membersRemoved,
    Set<MemberId> membersChanged,
    Set<DatabaseId> databasesAdded,
    Set<DatabaseId> databasesRemoved,
    Set<DatabaseId> databasesChanged,
    Set<String> routesChanged) {

  /** Copies the sets. */
  public ConfigurationDiff {
    keysWithdrawn = Set.copyOf(keysWithdrawn);
    keysAdded = Set.copyOf(keysAdded);
    organisationsAdded = Set.copyOf(organisationsAdded);
    organisationsRemoved = Set.copyOf(organisationsRemoved);
    organisationsChanged = Set.copyOf(organisationsChanged);
    membersAdded = Set.copyOf(membersAdded);
    membersRemoved = Set.copyOf(membersRemoved);
    membersChanged = Set.copyOf(membersChanged);
    databasesAdded = Set.copyOf(databasesAdded);
    databasesRemoved = Set.copyOf(databasesRemoved);
    databasesChanged = Set.copyOf(databasesChanged);
    routesChanged = Set.copyOf(routesChanged);
  }

  /** Returns the differences between the configuration in force, if any, and its replacement. */
  public static ConfigurationDiff between(Optional<Configuration> current, Configuration next) {
    Declarations before = current.map(Configuration::declarations).orElse(Declarations.EMPTY);
    Declarations after = next.declarations();
    Changes<KeyGrant> keys = Changes.between(grants(before), grants(after));
    Changes<OrganisationId> organisations =
        Changes.between(
            index(before.organisations(), Organisation::id),
            index(after.organisations(), Organisation::id));
    Changes<MemberId> members = Changes.between(members(before), members(after));
    Changes<DatabaseId> databases = Changes.between(databases(before), databases(after));
    Changes<String> routes =
        Changes.between(index(before.routes(), Route::name), index(after.routes(), Route::name));
    return new ConfigurationDiff(
        current.map(Configuration::generation).orElse(0L),
        next.generation(),
        keyIds(keys.removed()),
        keyIds(keys.added()),
        organisations.added(),
        organisations.removed(),
        organisations.changed(),
        members.added(),
        members.removed(),
        members.changed(),
        databases.added(),
        databases.removed(),
        databases.changed(),
        routes.all());
  }

  /** The access that an accepted key grants to its organisation. */
  private record KeyGrant(String id, String organisation, String secretSha256) {}

  private record PlacedMember(DatabaseId database, MemberDefinition member) {}

  private static Map<KeyGrant, KeyGrant> grants(Declarations declarations) {
    Map<KeyGrant, KeyGrant> grants = new HashMap<>();
    for (Key key : declarations.keys()) {
      if (!key.withdrawn()) {
        KeyGrant grant = new KeyGrant(key.id(), key.organisation(), key.secretSha256());
        grants.put(grant, grant);
      }
    }
    return grants;
  }

  private static Set<String> keyIds(Set<KeyGrant> grants) {
    return grants.stream().map(KeyGrant::id).collect(Collectors.toSet());
  }

  private static Map<DatabaseId, DatabaseDefinition> databases(Declarations declarations) {
    Map<DatabaseId, DatabaseDefinition> databases = new HashMap<>();
    for (Service service : declarations.services()) {
      for (DatabaseDefinition database : service.databases()) {
        databases.put(new DatabaseId(service.name(), database.name()), database);
      }
    }
    return databases;
  }

  private static Map<MemberId, PlacedMember> members(Declarations declarations) {
    Map<MemberId, PlacedMember> members = new HashMap<>();
    databases(declarations)
        .forEach(
            (id, database) ->
                database
                    .members()
                    .forEach(member -> members.put(member.id(), new PlacedMember(id, member))));
    return members;
  }

  private static <K, V> Map<K, V> index(List<V> items, Function<V, K> key) {
    return items.stream().collect(Collectors.toMap(key, Function.identity()));
  }

  /** Differences between the key sets and values of two maps. */
  private record Changes<K>(Set<K> added, Set<K> removed, Set<K> changed) {

    static <K, V> Changes<K> between(Map<K, V> before, Map<K, V> after) {
      Set<K> added = new HashSet<>(after.keySet());
      added.removeAll(before.keySet());
      Set<K> removed = new HashSet<>(before.keySet());
      removed.removeAll(after.keySet());
      Set<K> changed = new HashSet<>(after.keySet());
      changed.retainAll(before.keySet());
      changed.removeIf(key -> before.get(key).equals(after.get(key)));
      return new Changes<>(added, removed, changed);
    }

    Set<K> all() {
      Set<K> all = new HashSet<>(added);
      all.addAll(removed);
      all.addAll(changed);
      return all;
    }
  }
}
