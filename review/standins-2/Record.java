import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time in seconds. */
final class Record implements AutoCloseable {

  private static final int LONGEST_LINE = 400;

  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void write(String who, String what) {
    String line = String.format("%8.3f %s %s", seconds(), who, what);
    if (line.length() > LONGEST_LINE) {
      line = line.substring(0, LONGEST_LINE) + "... (" + line.length() + " characters)";
    }
    out.println(line);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
