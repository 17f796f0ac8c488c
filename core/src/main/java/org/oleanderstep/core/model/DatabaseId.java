package org.oleanderstep.core.model;

/** Identifies a database by its service and its name within the service. */
public record DatabaseId(String service, String database) {

  /** Checks that neither name is blank. */
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
