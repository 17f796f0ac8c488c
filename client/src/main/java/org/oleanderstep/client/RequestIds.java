package org.oleanderstep.client;

import java.util.Optional;
import java.util.UUID;

/**
 * Sets the request id of calls that must run at most once, such as an order confirmation.
 *
 * <pre>{@code
 * try (RequestIds.Scope scope = RequestIds.use("order-17-confirmation")) {
 *   statement.executeUpdate("update orders set confirmed = true where id = 17");
 * }
 * }</pre>
 *
 * <p>The id identifies the single statement that runs in the scope outside a transaction, or the
 * commit of the transaction. To retry a call whose outcome is unknown, run the same statement under
 * the same id: if it ran before, the recorded response is returned.
 */
public final class RequestIds {

  /** Maximum length of an id in characters. */
  public static final int MAX_LENGTH = 128;

  private static final ThreadLocal<String> CURRENT = new ThreadLocal<>();

  private RequestIds() {}

  /**
   * Sets the id for the calls of this thread until the scope is closed.
   *
   * @throws IllegalArgumentException if the id is blank, too long or contains characters other than
   *     visible ASCII
   */
  public static Scope use(String requestId) {
    if (requestId.isBlank() || requestId.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a request id must have 1 to "
              + MAX_LENGTH
              + " characters, but got "
              + requestId.length());
    }
    if (!isVisibleAscii(requestId)) {
      throw new IllegalArgumentException("a request id must contain visible ASCII characters only");
    }
    String previous = CURRENT.get();
    CURRENT.set(requestId);
    return new Scope(previous);
  }

  /** Returns whether a text can be used as a request id. */
  public static boolean isValid(String requestId) {
    return !requestId.isEmpty() && requestId.length() <= MAX_LENGTH && isVisibleAscii(requestId);
  }

  /** Returns whether a text has visible ASCII characters only, which any HTTP header may hold. */
  public static boolean isVisibleAscii(String text) {
    return text.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }

  /** Sets a new random id for the calls of this thread until the scope is closed. */
  public static Scope useRandom() {
    return use(UUID.randomUUID().toString());
  }

  /** Returns the id that calls of this thread carry. */
  public static Optional<String> current() {
    return Optional.ofNullable(CURRENT.get());
  }

  /** Scope in which an id is used; closing it restores the previous id. */
  public static final class Scope implements AutoCloseable {

    private final String previous;

    private Scope(String previous) {
      this.previous = previous;
    }

    @Override
    public void close() {
      if (previous == null) {
        CURRENT.remove();
      } else {
        CURRENT.set(previous);
      }
    }
  }
}
