package org.oleanderstep.cli;

import java.util.List;
import org.oleanderstep.proxy.internal.declarations.ObjectChange;

/** Formats the differences between two sets of declarations. */
final class Changes {

  private Changes() {}

  static void print(Console console, List<ObjectChange> changes) {
    changes.forEach(change -> console.out().println(change));
  }

  static List<Json> toJson(List<ObjectChange> changes) {
    return changes.stream()
        .map(
            change ->
                Json.object()
                    .with("kind", change.object().kind())
                    .with("name", change.object().name())
                    .with("change", change.kind().name())
                    .withStrings("fields", change.fields()))
        .toList();
  }
}
