package org.oleanderstep.standins.platform;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Files in which objects survive a restart of the stand-in: one file per object, which starts with
 * the version as eight bytes.
 */
final class ObjectFiles {

  private static final String OBJECT_SUFFIX = ".object";
  private static final String LAST_VERSION_FILE = "last-version";
  private static final String ERA_FILE = "era";

  private final Path directory;

  ObjectFiles(Path directory) {
    this.directory = directory;
    try {
      Files.createDirectories(directory);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot create the data directory " + directory, e);
    }
  }

  Map<String, StoredObject> readAll() {
    Map<String, StoredObject> objects = new TreeMap<>();
    for (Path file : objectFiles()) {
      String encoded = file.getFileName().toString();
      String name =
          URLDecoder.decode(
              encoded.substring(0, encoded.length() - OBJECT_SUFFIX.length()),
              StandardCharsets.UTF_8);
      ByteBuffer content = ByteBuffer.wrap(read(file));
      long version = content.getLong();
      objects.put(name, new StoredObject(version, ByteString.copyFrom(content)));
    }
    return objects;
  }

  /** Returns the highest version that was ever given out, also to objects deleted since. */
  long readLastVersion() {
    return readNumber(LAST_VERSION_FILE);
  }

  /** Returns how often the store has returned to an older copy. */
  long readEra() {
    return readNumber(ERA_FILE);
  }

  private long readNumber(String name) {
    Path file = directory.resolve(name);
    return Files.exists(file) ? ByteBuffer.wrap(read(file)).getLong() : 0;
  }

  /** Replaces all files; a crash in between leaves a mixture. */
  void replaceAll(Map<String, StoredObject> objects, long lastVersion, long era) {
    writeNumber(ERA_FILE, era);
    for (Path file : objectFiles()) {
      delete(file);
    }
    objects.forEach((name, object) -> write(name, object, lastVersion));
    writeLastVersion(lastVersion);
  }

  void write(String name, StoredObject object, long lastVersion) {
    ByteBuffer content = ByteBuffer.allocate(Long.BYTES + object.value().size());
    content.putLong(object.version());
    object.value().copyTo(content);
    replace(file(name), content.array());
    writeLastVersion(lastVersion);
  }

  void delete(String name, long lastVersion) {
    writeLastVersion(lastVersion);
    delete(file(name));
  }

  private static void delete(Path file) {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot delete " + file, e);
    }
  }

  private void writeLastVersion(long lastVersion) {
    writeNumber(LAST_VERSION_FILE, lastVersion);
  }

  private void writeNumber(String name, long number) {
    replace(directory.resolve(name), ByteBuffer.allocate(Long.BYTES).putLong(number).array());
  }

  private List<Path> objectFiles() {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(f -> f.toString().endsWith(OBJECT_SUFFIX)).toList();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot list the data directory " + directory, e);
    }
  }

  private Path file(String name) {
    return directory.resolve(URLEncoder.encode(name, StandardCharsets.UTF_8) + OBJECT_SUFFIX);
  }

  private static byte[] read(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read " + file, e);
    }
  }

  /** Replaces a file at once, so that a crash leaves the old or the new content. */
  private static void replace(Path file, byte[] content) {
    Path temporary = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.write(temporary, content);
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write " + file, e);
    }
  }
}
