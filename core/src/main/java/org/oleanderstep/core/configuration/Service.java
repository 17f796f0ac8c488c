package org.oleanderstep.core.configuration;

import java.util.List;

/** A named set of databases that callers address together. */
public record Service(String name, String region, List<DatabaseDefinition> databases) {

  /** Copies the list of databases. */
  public Service {
    databases = List.copyOf(databases);
  }
}
