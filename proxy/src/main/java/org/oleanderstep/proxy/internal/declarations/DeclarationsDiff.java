package org.oleanderstep.proxy.internal.declarations;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderstep.schema.v1.Declarations;

/** Compares two versions of the declarations object by object, to show operators what changed. */
public final class DeclarationsDiff {

  private DeclarationsDiff() {}

  /** Returns the objects that differ, by kind and name. */
  public static List<ObjectChange> between(Declarations from, Declarations to) {
    List<ObjectChange> changes = new ArrayList<>();
    for (FieldDescriptor list : Declarations.getDescriptor().getFields()) {
      Map<ObjectReference, Message> before = byReference(from, list);
      Map<ObjectReference, Message> after = byReference(to, list);
      Map<ObjectReference, Message> all = new TreeMap<>(before);
      all.putAll(after);
      for (ObjectReference object : all.keySet()) {
        addChange(object, before.get(object), after.get(object), changes);
      }
    }
    return changes;
  }

  private static void addChange(
      ObjectReference object, Message before, Message after, List<ObjectChange> changes) {
    if (before == null) {
      changes.add(new ObjectChange(object, ObjectChange.Kind.ADDED, List.of()));
    } else if (after == null) {
      changes.add(new ObjectChange(object, ObjectChange.Kind.REMOVED, List.of()));
    } else if (!before.equals(after)) {
      changes.add(
          new ObjectChange(object, ObjectChange.Kind.CHANGED, differingFields(before, after)));
    }
  }

  private static List<String> differingFields(Message before, Message after) {
    return before.getDescriptorForType().getFields().stream()
        .filter(f -> !before.getField(f).equals(after.getField(f)))
        .map(FieldDescriptor::getJsonName)
        .toList();
  }

  private static Map<ObjectReference, Message> byReference(
      Declarations declarations, FieldDescriptor list) {
    Map<ObjectReference, Message> objects = new TreeMap<>();
    for (Message object : DeclarationsDirectory.objects(declarations, list)) {
      objects.put(ObjectReference.of(list, object), object);
    }
    return objects;
  }
}
