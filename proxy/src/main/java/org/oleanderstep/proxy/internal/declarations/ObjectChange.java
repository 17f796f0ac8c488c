package org.oleanderstep.proxy.internal.declarations;

import java.util.List;

/**
 * A difference in one object between two versions of the declarations.
 *
 * @param fields fields that differ; empty unless the object was changed
 */
public record ObjectChange(ObjectReference object, Kind kind, List<String> fields) {

  /** Kind of change. */
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
