package org.oleanderstep.client.internal;

import java.util.Optional;
import java.util.function.UnaryOperator;

/** A complete HTTP answer. */
public final class Answer {

  private static final String STOPPING = "57P01";

  private final int status;
  private final byte[] body;
  private final UnaryOperator<String> headers;

  Answer(int status, byte[] body, UnaryOperator<String> headers) {
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

  /** Returns the first header of a name. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.apply(name));
  }

  /** Returns whether the server says that it is stopping and has not run the call. */
  public boolean isStopping() {
    return status == 500 && STOPPING.equals(ErrorAnswers.sqlState(body));
  }

  /** Returns whether the body is an Avatica answer: a result, or an error of the server. */
  public boolean isAvatica() {
    return status == 200 || status == 401 || status == 500;
  }
}
