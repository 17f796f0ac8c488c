package org.oleanderstep.core.configuration;

/** Kinds of declared objects, with the names that error messages use. */
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

  /** Returns the name for error messages. */
  public String label() {
    return label;
  }
}
