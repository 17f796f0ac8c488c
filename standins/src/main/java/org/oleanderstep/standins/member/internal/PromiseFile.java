package org.oleanderstep.standins.member.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import org.oleanderstep.schema.v1.FenceRequest;

/** Keeps the promise of a member in a file, which is replaced as a whole. */
final class PromiseFile {

  private final Path path;

  PromiseFile(Path directory) {
    this.path = directory.resolve("promise");
  }

  Optional<Promise> load() {
    try {
      if (!Files.exists(path)) {
        return Optional.empty();
      }
      FenceRequest stored = FenceRequest.parseFrom(Files.readAllBytes(path));
      return Optional.of(new Promise(stored.getTerm(), stored.getCandidate()));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read the promise in " + path, e);
    }
  }

  void save(Promise promise) {
    FenceRequest stored =
        FenceRequest.newBuilder().setTerm(promise.term()).setCandidate(promise.candidate()).build();
    Path next = path.resolveSibling("promise.next");
    try {
      Files.write(next, stored.toByteArray());
      Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the promise to " + path, e);
    }
  }
}
