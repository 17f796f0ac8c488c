package org.oleanderstep.load;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleanderstep.schema.v1.Database;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Service;

/** Restricts declared objects to some databases, so that a scenario can run on a small fleet. */
final class DeclaredSubset {

  private DeclaredSubset() {}

  /**
   * Returns the set without the services and databases that are not named, and without the routes
   * and objectives of the services left out.
   *
   * @param databases names in the form {@code service/database}; all if empty
   */
  static Declarations of(Declarations all, Collection<String> databases) {
    if (databases.isEmpty()) {
      return all;
    }
    Declarations.Builder set = all.toBuilder().clearServices().clearRoutes().clearObjectives();
    for (Service service : all.getServicesList()) {
      List<Database> kept =
          service.getDatabasesList().stream()
              .filter(database -> databases.contains(service.getName() + "/" + database.getName()))
              .toList();
      if (!kept.isEmpty()) {
        set.addServices(service.toBuilder().clearDatabases().addAllDatabases(kept));
      }
    }
    Set<String> services =
        set.getServicesList().stream().map(Service::getName).collect(Collectors.toSet());
    all.getRoutesList().stream()
        .filter(route -> services.contains(route.getService()))
        .forEach(set::addRoutes);
    all.getObjectivesList().stream()
        .filter(objective -> services.contains(objective.getService()))
        .forEach(set::addObjectives);
    return set.build();
  }
}
