package org.oleanderstep.proxy.internal.declarations;

import java.util.List;

/**
 * How one object differs between two sets.
 *
 * @param fields fields that differ, for a changed object
 */
public record ObjectChange(ObjectReference object, Kind kind, List<String> fields) {

  /** What happened to the object. */
  public enum Kind {
    ADDED("+"),
    REMOVED("-"),
    CHANGED("~");

    private final String sign;

    Kind(String sign) {
      this.sign = sign;
    }

    /** Returns the sign that starts a line of a diff. */
    public String sign() {
      return sign;
    }
  }

  /** Copies the list. */
  public ObjectChange {
    fields = List.copyOf(fields);
  }

  @Override
  public String toString() {
    String text = kind.sign() + " " + object;
    return fields.isEmpty() ? text : text + ": " + String.join(", ", fields);
  }
}
