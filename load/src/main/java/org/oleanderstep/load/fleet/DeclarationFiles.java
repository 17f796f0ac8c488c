package org.oleanderstep.load.fleet;

import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.oleanderstep.schema.v1.Declarations;

/** Reads and writes directories of declared objects. */
public final class DeclarationFiles {

  private DeclarationFiles() {}

  /**
   * Reads all JSON files of a directory as one set.
   *
   * @throws IOException if a file can't be read or is no set of declared objects
   */
  public static Declarations read(Path directory) throws IOException {
    Declarations.Builder declarations = Declarations.newBuilder();
    for (Path file : jsonFiles(directory)) {
      Declarations.Builder part = Declarations.newBuilder();
      JsonFormat.parser().merge(Files.readString(file), part);
      declarations.mergeFrom(part.build());
    }
    return declarations.build();
  }

  private static List<Path> jsonFiles(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    }
  }

  /**
   * Writes a set into one file of the directory, which is created if needed.
   *
   * @throws IOException if the file can't be written
   */
  public static void write(Path directory, Declarations declarations) throws IOException {
    Files.createDirectories(directory);
    Files.writeString(
        directory.resolve("declarations.json"), JsonFormat.printer().print(declarations));
  }
}
