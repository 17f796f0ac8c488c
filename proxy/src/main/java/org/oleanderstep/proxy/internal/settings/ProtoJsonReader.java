package org.oleanderstep.proxy.internal.settings;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Duration;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.ListValue;
import com.google.protobuf.Message;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Reads a message from JSON and reports all format errors at once.
 *
 * <pre>{@code
 * ProxySettings.Builder settings = ProxySettings.newBuilder();
 * List<ValidationError> errors = ProtoJsonReader.read(file, settings);
 * }</pre>
 *
 * <p>{@link JsonFormat} alone stops at the first error and does not report the path of the field.
 */
public final class ProtoJsonReader {

  private static final Pattern DURATION = Pattern.compile("-?\\d{1,12}(\\.\\d{1,9})?s");
  private static final Pattern INTEGER = Pattern.compile("-?\\d{1,19}");
  private static final int MAX_SUGGESTION_DISTANCE = 3;

  private final List<ValidationError> errors = new ArrayList<>();

  private ProtoJsonReader() {}

  /** Merges a file into the builder; leaves the builder unchanged if there are errors. */
  public static List<ValidationError> read(Path file, Message.Builder builder) {
    try {
      return readText(Files.readString(file), builder);
    } catch (IOException e) {
      return List.of(
          new ValidationError(
              "",
              "the file cannot be read (" + e.getClass().getSimpleName() + ")",
              "check that it exists, is readable and is UTF-8 text: " + file));
    }
  }

  /** Merges JSON text into the builder; leaves the builder unchanged if there are errors. */
  public static List<ValidationError> readText(String json, Message.Builder builder) {
    Struct.Builder root = Struct.newBuilder();
    try {
      JsonFormat.parser().merge(json, root);
    } catch (InvalidProtocolBufferException e) {
      return List.of(
          new ValidationError(
              "", "the text is not a JSON object (" + e.getMessage() + ")", "correct the syntax"));
    }
    ProtoJsonReader reader = new ProtoJsonReader();
    reader.checkFields(root.build(), builder.getDescriptorForType(), "");
    if (reader.errors.isEmpty()) {
      reader.merge(json, builder);
    }
    return List.copyOf(reader.errors);
  }

  private void merge(String json, Message.Builder builder) {
    Message.Builder merged = builder.clone();
    try {
      JsonFormat.parser().merge(json, merged);
      builder.mergeFrom(merged.build());
    } catch (InvalidProtocolBufferException e) {
      addError("", e.getMessage(), "correct the value");
    }
  }

  private void checkMessage(Value value, Descriptor type, String path) {
    if (value.hasStructValue()) {
      checkFields(value.getStructValue(), type, path);
    } else {
      addError(path, describe(value) + " is not an object", "write { ... }");
    }
  }

  private void checkFields(Struct object, Descriptor type, String path) {
    for (Map.Entry<String, Value> entry : object.getFieldsMap().entrySet()) {
      String name = entry.getKey();
      String fieldPath = path.isEmpty() ? name : path + "." + name;
      Optional<FieldDescriptor> field =
          type.getFields().stream()
              .filter(f -> f.getJsonName().equals(name) || f.getName().equals(name))
              .findFirst();
      if (field.isPresent()) {
        checkField(entry.getValue(), field.get(), fieldPath);
      } else {
        addError(fieldPath, "there is no such field", suggestion(name, type));
      }
    }
  }

  private void checkField(Value value, FieldDescriptor field, String path) {
    if (!field.isRepeated()) {
      checkValue(value, field, path);
      return;
    }
    if (!value.hasListValue()) {
      addError(path, describe(value) + " is not a list", "write [ ... ]");
      return;
    }
    ListValue items = value.getListValue();
    for (int i = 0; i < items.getValuesCount(); i++) {
      checkValue(items.getValues(i), field, path + "[" + i + "]");
    }
  }

  private void checkValue(Value value, FieldDescriptor field, String path) {
    switch (field.getJavaType()) {
      case MESSAGE -> {
        if (field.getMessageType().getFullName().equals(Duration.getDescriptor().getFullName())) {
          checkDuration(value, path);
        } else {
          checkMessage(value, field.getMessageType(), path);
        }
      }
      case STRING -> require(value.hasStringValue(), value, path, "a string in quotes is expected");
      case BOOLEAN -> require(value.hasBoolValue(), value, path, "true or false is expected");
      case INT, LONG -> checkInteger(value, field, path);
      case FLOAT, DOUBLE -> require(value.hasNumberValue(), value, path, "a number is expected");
      case ENUM -> checkEnum(value, field, path);
      case BYTE_STRING ->
          require(value.hasStringValue(), value, path, "a Base64 string is expected");
    }
  }

  private void checkDuration(Value value, String path) {
    if (!value.hasStringValue() || !DURATION.matcher(value.getStringValue()).matches()) {
      addError(
          path,
          describe(value) + " is not a duration",
          "write seconds with the unit s in quotes, as in \"0.2s\" or \"30s\"");
    }
  }

  private void checkInteger(Value value, FieldDescriptor field, String path) {
    // Protobuf JSON writes 64-bit integers as strings, since other readers parse numbers as
    // doubles.
    if (field.getJavaType() == FieldDescriptor.JavaType.LONG && value.hasStringValue()) {
      boolean digits = INTEGER.matcher(value.getStringValue()).matches();
      require(digits, value, path, "a whole number is expected");
      return;
    }
    double number = value.getNumberValue();
    boolean whole = value.hasNumberValue() && number == Math.rint(number);
    if (!whole) {
      addError(
          path, describe(value) + " is not a whole number", "write digits only, without a unit");
      return;
    }
    boolean fits = field.getJavaType() == FieldDescriptor.JavaType.LONG || number == (int) number;
    require(fits, value, path, "a number below 2147483648 is expected");
  }

  private void checkEnum(Value value, FieldDescriptor field, String path) {
    List<String> names =
        field.getEnumType().getValues().stream()
            .filter(v -> v.getNumber() != 0)
            .map(EnumValueDescriptor::getName)
            .toList();
    require(
        value.hasStringValue() && names.contains(value.getStringValue()),
        value,
        path,
        "one of " + names + " is expected");
  }

  private void require(boolean condition, Value value, String path, String expectation) {
    if (!condition) {
      addError(path, describe(value) + " has the wrong form", expectation);
    }
  }

  private void addError(String path, String problem, String remedy) {
    errors.add(new ValidationError(path, problem, remedy));
  }

  private static String describe(Value value) {
    return switch (value.getKindCase()) {
      case STRING_VALUE -> '"' + value.getStringValue() + '"';
      case NUMBER_VALUE ->
          BigDecimal.valueOf(value.getNumberValue()).stripTrailingZeros().toPlainString();
      case BOOL_VALUE -> String.valueOf(value.getBoolValue());
      case STRUCT_VALUE -> "an object";
      case LIST_VALUE -> "a list";
      case NULL_VALUE, KIND_NOT_SET -> "null";
    };
  }

  private static String suggestion(String name, Descriptor type) {
    List<String> names = type.getFields().stream().map(FieldDescriptor::getJsonName).toList();
    return names.stream()
        .filter(n -> editDistance(name, n) <= MAX_SUGGESTION_DISTANCE)
        .min((a, b) -> Integer.compare(editDistance(name, a), editDistance(name, b)))
        .map(n -> "did you mean " + n + "?")
        .orElse("the fields are " + String.join(", ", names));
  }

  /** Returns the case-insensitive edit distance of two names. */
  private static int editDistance(String a, String b) {
    int[] previous = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int[] current = new int[b.length() + 1];
      current[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        boolean same =
            Character.toLowerCase(a.charAt(i - 1)) == Character.toLowerCase(b.charAt(j - 1));
        int replaced = previous[j - 1] + (same ? 0 : 1);
        current[j] = Math.min(replaced, 1 + Math.min(previous[j], current[j - 1]));
      }
      previous = current;
    }
    return previous[b.length()];
  }
}
