package org.oleanderstep.cli;

import java.util.List;
import org.oleanderstep.proxy.internal.declarations.ObjectChange;

/** Prints changes of declared objects. */
final class Changes {

  private Changes() {}

  static void print(Console console, List<ObjectChange> changes) {
    changes.forEach(change -> console.out().println(change));
  }

  static List<Json> json(List<ObjectChange> changes) {
    return changes.stream()
        .map(
            change ->
                Json.object()
                    .with("kind", change.object().kind())
                    .with("name", change.object().name())
                    .with("change", change.kind().name())
                    .withTexts("fields", change.fields()))
        .toList();
  }
}
