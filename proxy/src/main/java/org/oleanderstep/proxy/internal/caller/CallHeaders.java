package org.oleanderstep.proxy.internal.caller;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.apache.calcite.avatica.proto.Common;
import org.oleanderstep.client.Headers;
import org.oleanderstep.client.RequestIds;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.proxy.internal.target.OutcomeException;

/**
 * Reads the HTTP headers of a call. A header that occurs twice, or whose text would be changed by
 * decoding it, is refused.
 */
final class CallHeaders {

  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
  private static final Duration MAX_DEADLINE = Duration.ofHours(1);
  private static final int MAX_CALL_ID = 64;
  private static final String BASIC = "Basic ";

  private final HttpHeaders headers;

  CallHeaders(HttpHeaders headers) {
    this.headers = headers;
  }

  /** Returns the call id if it can be returned in a header, otherwise nothing. */
  static Optional<String> callId(HttpHeaders headers) {
    return Optional.ofNullable(headers.get(Headers.CALL))
        .filter(id -> !id.isEmpty() && id.length() <= MAX_CALL_ID && RequestIds.isVisibleAscii(id));
  }

  Optional<CallerCall.Credentials> credentials() {
    return single(HttpHeaderNames.AUTHORIZATION).map(CallHeaders::parseCredentials);
  }

  private static CallerCall.Credentials parseCredentials(String header) {
    if (!header.startsWith(BASIC)) {
      throw badRequest("the Authorization header must use the Basic scheme");
    }
    String text = text(header.substring(BASIC.length()));
    int colon = text.indexOf(':');
    if (colon < 1) {
      throw badRequest("the Authorization header has no key id");
    }
    return new CallerCall.Credentials(text.substring(0, colon), text.substring(colon + 1));
  }

  Optional<String> sessionToken() {
    return single(Headers.SESSION);
  }

  boolean hasUnknownWrite() {
    return headers.contains(Headers.UNKNOWN_WRITE);
  }

  Optional<String> requestId() {
    Optional<String> id = single(Headers.REQUEST_ID);
    if (id.isPresent() && !RequestIds.isValid(id.get())) {
      throw badRequest(
          "a request id must have 1 to " + RequestIds.MAX_LENGTH + " visible ASCII characters");
    }
    return id;
  }

  Duration deadline() {
    return single(Headers.DEADLINE_MS).map(CallHeaders::parseDeadline).orElse(DEFAULT_DEADLINE);
  }

  private static Duration parseDeadline(String header) {
    try {
      long millis = Long.parseLong(header);
      if (millis > 0) {
        return Duration.ofMillis(Math.min(millis, MAX_DEADLINE.toMillis()));
      }
    } catch (NumberFormatException e) {
      throw badRequest("the deadline is not a number of milliseconds");
    }
    throw badRequest("the deadline must be positive");
  }

  Optional<Common.ConnectionProperties> connectionProperties() {
    return single(Headers.CONNECTION).map(CallHeaders::parseProperties);
  }

  private static Common.ConnectionProperties parseProperties(String header) {
    try {
      return Common.ConnectionProperties.parseFrom(decode(header));
    } catch (InvalidProtocolBufferException e) {
      throw badRequest("the connection properties cannot be parsed");
    }
  }

  Optional<String> statementText() {
    return single(Headers.STATEMENT).map(CallHeaders::text);
  }

  private Optional<String> single(CharSequence name) {
    List<String> values = headers.getAll(name);
    if (values.size() > 1) {
      throw badRequest("the header " + name + " occurs more than once");
    }
    return values.stream().findFirst();
  }

  private static String text(String base64) {
    try {
      ByteBuffer bytes = ByteBuffer.wrap(decode(base64));
      return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
    } catch (CharacterCodingException e) {
      throw badRequest("a header is not valid UTF-8");
    }
  }

  /** Decodes both alphabets of Base64, with and without padding. */
  private static byte[] decode(String base64) {
    try {
      return Base64.getUrlDecoder().decode(base64.replace('+', '-').replace('/', '_'));
    } catch (IllegalArgumentException e) {
      throw badRequest("a header is not valid Base64");
    }
  }

  static OutcomeException badRequest(String detail) {
    return OutcomeException.notRun(NotRunReason.BAD_REQUEST, detail);
  }
}
