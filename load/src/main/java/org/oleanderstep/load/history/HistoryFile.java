package org.oleanderstep.load.history;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.oleanderstep.schema.v1.Operation;

/**
 * A history on disk, one operation in JSON on each line.
 *
 * <pre>{@code
 * HistoryFile.write(path, operations);
 * List<Operation> again = HistoryFile.read(path);
 * }</pre>
 */
public final class HistoryFile {

  private HistoryFile() {}

  /**
   * Writes all operations, replacing the file.
   *
   * @throws IOException if the file can't be written
   */
  public static void write(Path file, List<Operation> operations) throws IOException {
    JsonFormat.Printer printer = JsonFormat.printer().omittingInsignificantWhitespace();
    try (BufferedWriter out = Files.newBufferedWriter(file)) {
      for (Operation operation : operations) {
        out.write(printer.print(operation));
        out.newLine();
      }
    }
  }

  /**
   * Reads a history.
   *
   * @throws IOException if the file can't be read or a line is no operation; the message names the
   *     line
   */
  public static List<Operation> read(Path file) throws IOException {
    List<Operation> operations = new ArrayList<>();
    List<String> lines = Files.readAllLines(file);
    for (int i = 0; i < lines.size(); i++) {
      operations.add(parse(file, i + 1, lines.get(i)));
    }
    return operations;
  }

  private static Operation parse(Path file, int number, String line) throws IOException {
    Operation.Builder builder = Operation.newBuilder();
    try {
      JsonFormat.parser().merge(line, builder);
    } catch (InvalidProtocolBufferException e) {
      throw new IOException(file + ":" + number + " is no operation: " + e.getMessage(), e);
    }
    return builder.build();
  }
}
