package org.oleanderstep.core.model;

/** Name of a database within its service. */
public record DatabaseId(String service, String database) {

  /** Checks that both names are not blank. */
  public DatabaseId {
    if (service.isBlank() || database.isBlank()) {
      throw new IllegalArgumentException("service and database must not be blank");
    }
  }

  @Override
  public String toString() {
    return service + "/" + database;
  }
}
