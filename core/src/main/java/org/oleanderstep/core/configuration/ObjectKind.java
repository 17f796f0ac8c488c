package org.oleanderstep.core.configuration;

/** Kinds of declared objects, as error messages name them. */
public enum ObjectKind {
  ORGANISATION("organisation"),
  KEY("key"),
  SERVICE("service"),
  DATABASE("database"),
  MEMBER("member"),
  ROUTE("route"),
  READ_RULE("read rule"),
  OBJECTIVE("objective");

  private final String label;

  ObjectKind(String label) {
    this.label = label;
  }

  /** Returns the kind in words. */
  public String label() {
    return label;
  }
}
