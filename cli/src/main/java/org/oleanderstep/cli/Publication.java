package org.oleanderstep.cli;

import java.util.OptionalLong;
import org.oleanderstep.proxy.internal.declarations.DeclarationsPublisher;
import org.oleanderstep.proxy.internal.declarations.DeclarationsPublisher.Result;
import org.oleanderstep.proxy.internal.declarations.ObjectChange;
import org.oleanderstep.schema.v1.Declarations;

/** Publishes declarations and prints the result. */
final class Publication {

  private final PlatformOptions platform;
  private final OutputOptions output;

  Publication(PlatformOptions platform, OutputOptions output) {
    this.platform = platform;
    this.output = output;
  }

  ExitCode publish(Declarations declarations, OptionalLong expected, Console console) {
    DeclarationsPublisher publisher = new DeclarationsPublisher(platform.store());
    Result result = publisher.publish(declarations, expected).join();
    if (result instanceof Result.Published published) {
      report(published, console);
      return ExitCode.OK;
    }
    if (result instanceof Result.Unchanged unchanged) {
      report(unchanged, console);
      return ExitCode.OK;
    }
    report((Result.Conflict) result, console);
    return ExitCode.CONFLICT;
  }

  private void report(Result.Published published, Console console) {
    if (output.json()) {
      console
          .out()
          .println(
              Json.object()
                  .with("result", "published")
                  .with("generation", published.generation())
                  .with("changes", Changes.toJson(published.changes())));
      return;
    }
    Changes.print(console, published.changes());
    console.out().println("published generation " + published.generation());
  }

  private void report(Result.Unchanged unchanged, Console console) {
    if (output.json()) {
      console
          .out()
          .println(
              Json.object().with("result", "unchanged").with("generation", unchanged.generation()));
      return;
    }
    console.out().println("generation " + unchanged.generation() + " has the same objects already");
  }

  private void report(Result.Conflict conflict, Console console) {
    if (output.json()) {
      console
          .out()
          .println(
              Json.object()
                  .with("result", "conflict")
                  .with("generation", conflict.currentGeneration())
                  .with("changes", Changes.toJson(conflict.interveningChanges())));
      return;
    }
    console
        .err()
        .println(
            "conflict: generation "
                + conflict.currentGeneration()
                + " was published in between and changed:");
    for (ObjectChange change : conflict.interveningChanges()) {
      console.err().println("  " + change);
    }
    console
        .err()
        .println("nothing was published; merge these changes into the files and apply again");
  }
}
