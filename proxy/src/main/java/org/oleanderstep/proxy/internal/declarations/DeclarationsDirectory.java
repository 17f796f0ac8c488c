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
import org.oleanderstep.proxy.internal.settings.Fault;
import org.oleanderstep.proxy.internal.settings.ProtoJsonReader;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Objective;

/**
 * Reads and checks a directory of declared objects.
 *
 * <pre>{@code
 * DeclarationsDirectory.Result result = DeclarationsDirectory.read(Path.of("declared"));
 * result.refusals().forEach(System.err::println);
 * }</pre>
 *
 * <p>Each file whose name ends with {@code .json}, also in subdirectories, holds any of the lists
 * of {@link Declarations}; all files together are one set.
 */
public final class DeclarationsDirectory {

  /** Largest set; the rest of the megabyte of the platform is for the publication's own fields. */
  private static final int MAX_SET_BYTES = (1 << 20) - (1 << 14);

  private static final String SUFFIX = ".json";

  /**
   * The set with everything that is wrong with it.
   *
   * @param declarations the objects of all files of the right form
   */
  public record Result(Declarations declarations, List<Refusal> refusals) {

    /** Copies the list. */
    public Result {
      refusals = List.copyOf(refusals);
    }
  }

  private final Path directory;
  private final List<Refusal> refusals = new ArrayList<>();
  private final Map<ObjectReference, Set<String>> files = new TreeMap<>();
  private final Declarations.Builder merged = Declarations.newBuilder();

  private DeclarationsDirectory(Path directory) {
    this.directory = directory;
  }

  /** Reads and checks all files of a directory. */
  public static Result read(Path directory) {
    DeclarationsDirectory reader = new DeclarationsDirectory(directory);
    reader.readFiles();
    // References between objects of a file that could not be read would all be reported as broken.
    if (reader.refusals.isEmpty()) {
      reader.checkSet();
      reader.checkEncoding();
    }
    return new Result(reader.merged.build(), reader.refusals);
  }

  private void readFiles() {
    List<Path> found;
    try (Stream<Path> walk = Files.walk(directory)) {
      found = walk.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
    } catch (IOException e) {
      refuse(
          directory.toString(), "the directory cannot be read", "name a directory with JSON files");
      return;
    }
    if (found.isEmpty()) {
      refuse(
          directory.toString(),
          "the directory has no file that ends with " + SUFFIX,
          "add files with declared objects");
    }
    found.forEach(this::readFile);
  }

  private void readFile(Path file) {
    String name = directory.relativize(file).toString();
    Declarations.Builder content = Declarations.newBuilder();
    List<Fault> faults = ProtoJsonReader.read(file, content);
    for (Fault fault : faults) {
      refusals.add(new Refusal(name, "", fault.path(), fault.problem(), fault.remedy()));
    }
    ObjectReference.allIn(content.build())
        .forEach(ref -> files.computeIfAbsent(ref, r -> new LinkedHashSet<>()).add(name));
    merged.mergeFrom(content.build());
  }

  private void checkSet() {
    for (Violation violation : ConfigurationChecker.check(ConfigurationConverter.toCore(set()))) {
      refusals.add(
          new Refusal(
              fileOf(violation),
              violation.objectKind().label() + " \"" + violation.objectName() + "\"",
              violation.field(),
              violation.problem(),
              violation.remedy()));
    }
  }

  /** Refuses what the records of the core cannot express. */
  private void checkEncoding() {
    for (Objective objective : set().getObjectivesList()) {
      if (objective.getIndicator() == Objective.Indicator.INDICATOR_UNSPECIFIED) {
        ObjectReference reference =
            new ObjectReference(ObjectKind.OBJECTIVE.label(), objective.getName());
        refusals.add(
            new Refusal(
                String.join(", ", files.getOrDefault(reference, Set.of())),
                reference.toString(),
                "indicator",
                "the value is missing",
                "name one of AVAILABILITY, REPLICA_READ_SHARE, FAILOVER_GAP, LATENCY,"
                    + " REFUSED_INSIDE_RATE"));
      }
    }
    if (set().getSerializedSize() > MAX_SET_BYTES) {
      refuse(
          directory.toString(),
          "the set has " + set().getSerializedSize() + " bytes when it is published",
          "reduce it to " + MAX_SET_BYTES + " bytes; the platform accepts no larger value");
    }
  }

  private Declarations set() {
    return merged.build();
  }

  /** Returns the files that declare the object, or the object that contains it. */
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

  private void refuse(String file, String problem, String remedy) {
    refusals.add(new Refusal(file, "", "", problem, remedy));
  }

  /** Returns the field that names an object of this list. */
  static FieldDescriptor nameField(FieldDescriptor list) {
    FieldDescriptor name = list.getMessageType().findFieldByName("name");
    return name == null ? list.getMessageType().findFieldByName("id") : name;
  }

  /** Returns the objects of a list. */
  @SuppressWarnings("unchecked") // Repeated message fields hold messages.
  static List<Message> objects(Declarations set, FieldDescriptor list) {
    return (List<Message>) set.getField(list);
  }
}
