package org.oleanderstep.proxy.internal.declarations;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.oleanderstep.core.configuration.ConfigurationChecker;
import org.oleanderstep.core.configuration.ObjectKind;
import org.oleanderstep.core.configuration.Violation;
import org.oleanderstep.proxy.internal.convert.ConfigurationConverter;
import org.oleanderstep.proxy.internal.settings.ProtoJsonReader;
import org.oleanderstep.proxy.internal.settings.ValidationError;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Objective;

/**
 * Reads and checks a directory of declarations.
 *
 * <pre>{@code
 * DeclarationsDirectory.Result result = DeclarationsDirectory.read(Path.of("declared"));
 * result.errors().forEach(System.err::println);
 * }</pre>
 *
 * <p>Each file whose name ends with {@code .json}, also in subdirectories, contains any of the
 * lists of {@link Declarations}; the contents of all files are merged.
 */
public final class DeclarationsDirectory {

  /**
   * Largest size of the declarations. The platform accepts values of up to 1 MiB; the rest is
   * reserved for the other fields of the publication.
   */
  private static final int MAX_DECLARATIONS_BYTES = (1 << 20) - (1 << 14);

  private static final String SUFFIX = ".json";

  /**
   * The merged declarations with all errors in them.
   *
   * @param declarations the objects of all files without format errors
   */
  public record Result(Declarations declarations, List<DeclarationError> errors) {

    /** Copies the list. */
    public Result {
      errors = List.copyOf(errors);
    }
  }

  private final Path directory;
  private final List<DeclarationError> errors = new ArrayList<>();
  private final Map<ObjectReference, Set<String>> files = new TreeMap<>();
  private final Declarations.Builder merged = Declarations.newBuilder();

  private DeclarationsDirectory(Path directory) {
    this.directory = directory;
  }

  /** Reads and checks all files of a directory. */
  public static Result read(Path directory) {
    DeclarationsDirectory reader = new DeclarationsDirectory(directory);
    reader.readFiles();
    // If a file could not be read, all references to its objects would be reported as broken.
    if (reader.errors.isEmpty()) {
      reader.checkDeclarations();
      reader.checkEncoding();
    }
    return new Result(reader.merged.build(), reader.errors);
  }

  private void readFiles() {
    List<Path> found;
    try (Stream<Path> walk = Files.walk(directory)) {
      found = walk.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
    } catch (IOException e) {
      addError(
          directory.toString(), "the directory cannot be read", "name a directory with JSON files");
      return;
    }
    if (found.isEmpty()) {
      addError(
          directory.toString(),
          "the directory has no file that ends with " + SUFFIX,
          "add files with declared objects");
    }
    found.forEach(this::readFile);
  }

  private void readFile(Path file) {
    String name = directory.relativize(file).toString();
    Declarations.Builder content = Declarations.newBuilder();
    List<ValidationError> fileErrors = ProtoJsonReader.read(file, content);
    for (ValidationError error : fileErrors) {
      errors.add(new DeclarationError(name, "", error.path(), error.problem(), error.remedy()));
    }
    ObjectReference.allIn(content.build())
        .forEach(ref -> files.computeIfAbsent(ref, r -> new LinkedHashSet<>()).add(name));
    merged.mergeFrom(content.build());
  }

  private void checkDeclarations() {
    for (Violation violation :
        ConfigurationChecker.check(ConfigurationConverter.toCore(declarations()))) {
      errors.add(
          new DeclarationError(
              fileOf(violation),
              violation.objectKind().label() + " \"" + violation.objectName() + "\"",
              violation.field(),
              violation.problem(),
              violation.remedy()));
    }
  }

  /** Reports errors that cannot be represented in the records of the core. */
  private void checkEncoding() {
    for (Objective objective : declarations().getObjectivesList()) {
      if (objective.getIndicator() == Objective.Indicator.INDICATOR_UNSPECIFIED) {
        ObjectReference reference =
            new ObjectReference(ObjectKind.OBJECTIVE.label(), objective.getName());
        errors.add(
            new DeclarationError(
                String.join(", ", files.getOrDefault(reference, Set.of())),
                reference.toString(),
                "indicator",
                "the value is missing",
                "name one of AVAILABILITY, REPLICA_READ_SHARE, FAILOVER_GAP, LATENCY,"
                    + " REFUSED_INSIDE_RATE"));
      }
    }
    if (declarations().getSerializedSize() > MAX_DECLARATIONS_BYTES) {
      addError(
          directory.toString(),
          "the declarations have " + declarations().getSerializedSize() + " bytes when published",
          "reduce them to "
              + MAX_DECLARATIONS_BYTES
              + " bytes; the platform accepts no larger value");
    }
  }

  private Declarations declarations() {
    return merged.build();
  }

  /** Returns the files that declare the object of a violation, or the object that contains it. */
  private String fileOf(Violation violation) {
    boolean nested =
        violation.objectKind() == ObjectKind.DATABASE
            || violation.objectKind() == ObjectKind.MEMBER;
    ObjectKind kind = nested ? ObjectKind.SERVICE : violation.objectKind();
    int slash = violation.objectName().indexOf('/');
    String name =
        nested && slash >= 0 ? violation.objectName().substring(0, slash) : violation.objectName();
    Set<String> found = files.getOrDefault(new ObjectReference(kind.label(), name), Set.of());
    return found.isEmpty() ? directory.toString() : String.join(", ", found);
  }

  private void addError(String file, String problem, String remedy) {
    errors.add(new DeclarationError(file, "", "", problem, remedy));
  }

  /** Returns the field that identifies an object in the given list: its name or id. */
  static FieldDescriptor nameField(FieldDescriptor list) {
    FieldDescriptor name = list.getMessageType().findFieldByName("name");
    return name == null ? list.getMessageType().findFieldByName("id") : name;
  }

  /** Returns the objects in a list of the declarations. */
  @SuppressWarnings("unchecked") // Repeated message fields contain messages.
  static List<Message> objects(Declarations declarations, FieldDescriptor list) {
    return (List<Message>) declarations.getField(list);
  }
}
