package org.oleanderstep.client.internal;

import java.util.Optional;
import java.util.function.UnaryOperator;

/** HTTP response whose body was read completely. */
public final class HttpResponse {

  private static final String STOPPING = "57P01";

  private final int status;
  private final byte[] body;
  private final UnaryOperator<String> headers;

  HttpResponse(int status, byte[] body, UnaryOperator<String> headers) {
    this.status = status;
    this.body = body == null ? new byte[0] : body;
    this.headers = headers;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /** Returns the body, which the caller must not change. */
  public byte[] body() {
    return body;
  }

  /** Returns the value of the first header with the given name. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.apply(name));
  }

  /**
   * Returns whether the server rejected the call, without running it, because it is shutting down.
   */
  public boolean isStopping() {
    return status == 500 && STOPPING.equals(ErrorResponses.sqlState(body));
  }

  /**
   * Returns whether the status is one with an Avatica body: a result, or an error of the server.
   */
  public boolean isAvatica() {
    return status == 200 || status == 401 || status == 500;
  }
}
