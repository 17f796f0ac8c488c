import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads messages of the line protocol; each byte is one character. */
final class Line {

  private static final int MAX_BYTES = 1 << 20;

  private final InputStream in;

  Line(InputStream in) {
    this.in = new BufferedInputStream(in, 1 << 16);
  }

  /** Returns the next message without its end; null at the end of the connection. */
  String read() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream(64);
    int last = -1;
    while (true) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      if (next == '\n' && last == '\r') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.substring(0, text.length() - 1);
      }
      line.write(next);
      last = next;
      if (line.size() > MAX_BYTES + 1) {
        throw new IOException("the message is too long");
      }
    }
  }
}
