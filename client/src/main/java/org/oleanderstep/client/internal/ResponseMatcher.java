package org.oleanderstep.client.internal;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.HttpResponseInformationCallback;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.util.Timeout;
import org.oleanderstep.client.Headers;

/**
 * Sends calls and finds their responses by the call id, since a server may repeat a response and
 * HTTP itself matches responses by their order alone.
 *
 * <p>Responses to earlier calls are dropped. A server that has named a call on a network connection
 * must name each further one there. For a server that names none, data that was received before a
 * call prevents the call; a response that is repeated after it cannot be told from the right one.
 */
final class ResponseMatcher extends HttpRequestExecutor {

  // A repeated response is read whole before the next call, unless its rest takes longer than this.
  private static final Timeout STALE_RESPONSE_TIMEOUT = Timeout.ofMilliseconds(100);

  private final CallIds ids = new CallIds();
  private final UnreadData unread;
  private HttpClientConnection connection;
  private boolean serverNamesCalls;

  ResponseMatcher(UnreadData unread) {
    this.unread = unread;
  }

  @Override
  public ClassicHttpResponse execute(
      ClassicHttpRequest request,
      HttpClientConnection used,
      HttpResponseInformationCallback onInformation,
      HttpContext context)
      throws IOException, HttpException {
    if (used != connection) {
      connection = used;
      serverNamesCalls = false;
    }
    String id = ids.next();
    dropStaleResponses();
    request.setHeader(Headers.CALL, id);
    ClassicHttpResponse response = super.execute(request, used, onInformation, context);
    while (isStale(response)) {
      EntityUtils.consume(response.getEntity());
      response = receive();
    }
    requireMatch(response);
    return response;
  }

  private void dropStaleResponses() throws IOException {
    if (!unread.isPresent(connection)) {
      return;
    }
    Timeout timeout = connection.getSocketTimeout();
    try {
      connection.setSocketTimeout(STALE_RESPONSE_TIMEOUT);
      while (unread.isPresent(connection)) {
        ClassicHttpResponse response = receive();
        if (!isStale(response)) {
          throw new IOException("the response names no earlier call");
        }
        EntityUtils.consume(response.getEntity());
      }
      connection.setSocketTimeout(timeout);
    } catch (IOException | HttpException e) {
      throw new UnreadDataException("the server sent data that no call asked for", e);
    }
  }

  private ClassicHttpResponse receive() throws IOException, HttpException {
    ClassicHttpResponse response = connection.receiveResponseHeader();
    connection.receiveResponseEntity(response);
    return response;
  }

  private boolean isStale(ClassicHttpResponse response) {
    Header id = response.getFirstHeader(Headers.CALL);
    return id != null && ids.isEarlier(id.getValue());
  }

  private void requireMatch(ClassicHttpResponse response) throws IOException {
    Header id = response.getFirstHeader(Headers.CALL);
    if (id == null && !serverNamesCalls) {
      return;
    }
    if (id == null || !ids.isLatest(id.getValue())) {
      throw new IOException("the response does not belong to the call");
    }
    serverNamesCalls = true;
  }
}
