package org.oleanderstep.standins.member;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import org.apache.calcite.avatica.remote.AuthenticationType;
import org.apache.calcite.avatica.remote.AvaticaHttpClient;
import org.apache.calcite.avatica.remote.UsernamePasswordAuthenticateable;

/**
 * HTTP client for the Avatica driver with one TCP connection of its own, which never repeats a
 * request. The stock client repeats a request without an answer for ever, so a commit of unknown
 * outcome can't be seen with it.
 */
public final class SocketHttpClient implements AvaticaHttpClient, UsernamePasswordAuthenticateable {

  private static final ThreadLocal<SocketHttpClient> LATEST = new ThreadLocal<>();

  private final Socket socket;
  private final InputStream in;
  private String authorization = "";
  private String groupPosition = "";

  /** Called by the driver. */
  public SocketHttpClient(URL url) throws IOException {
    socket = new Socket(url.getHost(), url.getPort());
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    LATEST.set(this);
  }

  /** Returns the client of the connection that the current thread opened last. */
  static SocketHttpClient latest() {
    return LATEST.get();
  }

  @Override
  public void setUsernamePassword(AuthenticationType type, String user, String password) {
    byte[] credentials = (user + ":" + password).getBytes(StandardCharsets.UTF_8);
    authorization = "Basic " + Base64.getEncoder().encodeToString(credentials);
  }

  @Override
  public synchronized byte[] send(byte[] request) {
    try {
      String head =
          "POST / HTTP/1.1\r\nHost: member\r\nAuthorization: "
              + authorization
              + "\r\nContent-Length: "
              + request.length
              + "\r\n\r\n";
      byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
      byte[] message = new byte[headBytes.length + request.length];
      System.arraycopy(headBytes, 0, message, 0, headBytes.length);
      System.arraycopy(request, 0, message, headBytes.length, request.length);
      socket.getOutputStream().write(message);
      return readResponse();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private byte[] readResponse() throws IOException {
    int length = 0;
    String line = readLine();
    while (!line.isEmpty()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring("content-length:".length()).strip());
      }
      if (lower.startsWith("group-position:")) {
        groupPosition = line.substring("group-position:".length()).strip();
      }
      line = readLine();
    }
    return in.readNBytes(length);
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    int c = in.read();
    while (c != '\n') {
      if (c < 0) {
        throw new EOFException("the server closed the connection without an answer");
      }
      if (c != '\r') {
        line.append((char) c);
      }
      c = in.read();
    }
    return line.toString();
  }

  /** Returns the header of the last answer. */
  String groupPosition() {
    return groupPosition;
  }

  /** Drops the TCP connection as a killed process does. */
  void drop() throws IOException {
    socket.close();
  }
}
