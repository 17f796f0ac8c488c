package org.oleanderstep.proxy.internal.declarations;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.Comparator;
import java.util.List;
import org.oleanderstep.schema.v1.Declarations;

/**
 * Reference to a declared object by kind and name.
 *
 * @param kind kind in words, as in {@code read rule}
 */
public record ObjectReference(String kind, String name) implements Comparable<ObjectReference> {

  private static final Comparator<ObjectReference> ORDER =
      Comparator.comparing(ObjectReference::kind).thenComparing(ObjectReference::name);

  /** Returns references to all declared objects. */
  static List<ObjectReference> allIn(Declarations declarations) {
    return Declarations.getDescriptor().getFields().stream()
        .flatMap(
            list ->
                DeclarationsDirectory.objects(declarations, list).stream()
                    .map(object -> of(list, object)))
        .toList();
  }

  static ObjectReference of(FieldDescriptor list, Message object) {
    String plural = list.getName().replace('_', ' ');
    String kind = plural.substring(0, plural.length() - 1);
    return new ObjectReference(
        kind, (String) object.getField(DeclarationsDirectory.nameField(list)));
  }

  @Override
  public int compareTo(ObjectReference other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind + " \"" + name + "\"";
  }
}
