package org.oleanderstep.client.internal;

import java.io.IOException;
import java.net.Socket;
import org.apache.hc.client5.http.io.ManagedHttpClientConnection;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Tells whether a server has sent data that was not read, without waiting for any. Not thread-safe;
 * serves one network connection at a time.
 *
 * <p>Its parser requires that a response starts with its status line. The default parser of the
 * client skips everything before a line that looks like one, and so can find a response within the
 * body of another.
 */
final class UnreadData implements HttpMessageParserFactory<ClassicHttpResponse> {

  private SessionInputBuffer buffer;

  // The only abstract method of the interface is deprecated.
  @SuppressWarnings("deprecation")
  @Override
  public HttpMessageParser<ClassicHttpResponse> create(Http1Config config) {
    buffer = null;
    HttpMessageParser<ClassicHttpResponse> parser =
        DefaultHttpResponseParserFactory.INSTANCE.create();
    return (used, in) -> {
      buffer = used;
      return parser.parse(used, in);
    };
  }

  /** Returns whether data was received on the connection and not read. */
  boolean isPresent(HttpClientConnection connection) throws IOException {
    if (buffer != null && buffer.length() > 0) {
      return true;
    }
    Socket socket =
        connection instanceof ManagedHttpClientConnection managed ? managed.getSocket() : null;
    return socket != null && socket.getInputStream().available() > 0;
  }
}
