package org.oleanderstep.standins.member.internal;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Encodes the payload of log entries. */
final class EntryCodec {

  private static final int NO_OPERATION = 0;
  private static final int DEFINITION = 1;
  private static final int ROWS = 2;

  private static final int NULL = 0;
  private static final int BOOLEAN = 1;
  private static final int INTEGER = 2;
  private static final int LONG = 3;
  private static final int DOUBLE = 4;
  private static final int TEXT = 5;
  private static final int BYTES = 6;

  /** What a log entry does. */
  sealed interface Content {}

  /** Marks the start of a term. */
  record NoOperation() implements Content {}

  /** A statement that changes the schema. */
  record Definition(String sql) implements Content {}

  /** The row changes of one transaction. */
  record Rows(List<RowChange> changes) implements Content {}

  private EntryCodec() {}

  static ByteString encode(Content content) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      if (content instanceof Definition definition) {
        out.writeByte(DEFINITION);
        writeText(out, definition.sql());
      } else if (content instanceof Rows rows) {
        out.writeByte(ROWS);
        writeRows(out, rows.changes());
      } else {
        out.writeByte(NO_OPERATION);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return ByteString.copyFrom(bytes.toByteArray());
  }

  static Content decode(ByteString payload) {
    try (DataInputStream in = new DataInputStream(payload.newInput())) {
      int kind = in.readUnsignedByte();
      return switch (kind) {
        case NO_OPERATION -> new NoOperation();
        case DEFINITION -> new Definition(readText(in));
        case ROWS -> new Rows(readRows(in));
        default -> throw new IOException("unknown kind of log entry: " + kind);
      };
    } catch (IOException e) {
      throw new UncheckedIOException("a log entry cannot be decoded", e);
    }
  }

  private static void writeRows(DataOutputStream out, List<RowChange> changes) throws IOException {
    out.writeInt(changes.size());
    for (RowChange change : changes) {
      writeText(out, change.schema());
      writeText(out, change.table());
      writeValues(out, change.before());
      writeValues(out, change.after());
    }
  }

  private static List<RowChange> readRows(DataInputStream in) throws IOException {
    int size = in.readInt();
    List<RowChange> changes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      changes.add(new RowChange(readText(in), readText(in), readValues(in), readValues(in)));
    }
    return changes;
  }

  private static void writeValues(DataOutputStream out, List<Object> values) throws IOException {
    out.writeInt(values.size());
    for (Object value : values) {
      writeValue(out, value);
    }
  }

  private static List<Object> readValues(DataInputStream in) throws IOException {
    int size = in.readInt();
    List<Object> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(readValue(in));
    }
    return Collections.unmodifiableList(values);
  }

  /** Writes a value; types without a form of their own travel as text, which H2 converts back. */
  private static void writeValue(DataOutputStream out, Object value) throws IOException {
    if (value == null) {
      out.writeByte(NULL);
    } else if (value instanceof Boolean flag) {
      out.writeByte(BOOLEAN);
      out.writeBoolean(flag);
    } else if (value instanceof Integer number) {
      out.writeByte(INTEGER);
      out.writeInt(number);
    } else if (value instanceof Long number) {
      out.writeByte(LONG);
      out.writeLong(number);
    } else if (value instanceof Double number) {
      out.writeByte(DOUBLE);
      out.writeDouble(number);
    } else if (value instanceof byte[] bytes) {
      out.writeByte(BYTES);
      writeBytes(out, bytes);
    } else {
      out.writeByte(TEXT);
      writeText(out, value.toString());
    }
  }

  private static Object readValue(DataInputStream in) throws IOException {
    int type = in.readUnsignedByte();
    return switch (type) {
      case NULL -> null;
      case BOOLEAN -> in.readBoolean();
      case INTEGER -> in.readInt();
      case LONG -> in.readLong();
      case DOUBLE -> in.readDouble();
      case TEXT -> readText(in);
      case BYTES -> readBytes(in);
      default -> throw new IOException("unknown type of value: " + type);
    };
  }

  private static void writeText(DataOutputStream out, String text) throws IOException {
    writeBytes(out, text.getBytes(StandardCharsets.UTF_8));
  }

  private static String readText(DataInputStream in) throws IOException {
    return new String(readBytes(in), StandardCharsets.UTF_8);
  }

  private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  private static byte[] readBytes(DataInputStream in) throws IOException {
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return bytes;
  }
}
