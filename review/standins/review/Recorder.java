package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one event a line with the seconds since the start. */
final class Recorder implements AutoCloseable {

  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void add(String event) {
    out.printf("%9.4f %s%n", seconds(), event);
  }

  /** Records an event and also prints it. */
  void say(String event) {
    add(event);
    System.out.println(event);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
