package org.oleanderstep.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.oleanderstep.proxy.internal.settings.ProtoJsonReader;
import org.oleanderstep.proxy.internal.settings.ValidationError;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Key;

/** Adds and withdraws keys in the files of a directory of declarations. */
final class KeyFiles {

  private static final String SUFFIX = ".json";

  private final Path directory;

  KeyFiles(Path directory) {
    this.directory = directory;
  }

  /** Declares a key in a new file. */
  Path add(Key key) {
    Path file = directory.resolve("key-" + key.getId() + SUFFIX);
    if (Files.exists(file)) {
      throw new CommandException(ExitCode.FAILED, file + " already exists");
    }
    write(file, Declarations.newBuilder().addKeys(key).build());
    return file;
  }

  /** Marks a key as withdrawn in the file that declares it. */
  Path withdraw(String id) {
    for (Path file : files()) {
      Declarations.Builder content = Declarations.newBuilder();
      List<ValidationError> faults = ProtoJsonReader.read(file, content);
      if (!faults.isEmpty()) {
        throw new CommandException(ExitCode.FAILED, file + ": " + faults.get(0));
      }
      Optional<Key.Builder> found =
          content.getKeysBuilderList().stream().filter(k -> k.getId().equals(id)).findFirst();
      if (found.isPresent()) {
        found.get().setWithdrawn(true);
        write(file, content.build());
        return file;
      }
    }
    throw new CommandException(
        ExitCode.FAILED, "no file under " + directory + " declares the key " + id);
  }

  private List<Path> files() {
    try (Stream<Path> walk = Files.walk(directory)) {
      return walk.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
    } catch (IOException e) {
      throw new UncheckedIOException(directory + " cannot be read", e);
    }
  }

  /** Replaces a file atomically, so that a crash leaves either the old or the new content. */
  private static void write(Path file, Declarations content) {
    Path temporary = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.writeString(temporary, Json.printDeclarations(content) + System.lineSeparator());
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new UncheckedIOException(file + " cannot be written", e);
    }
  }
}
