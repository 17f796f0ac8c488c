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
 * <p>The id belongs to the one statement that runs in the scope outside a transaction, or to the
 * commit of the transaction. To repeat a call whose outcome is unknown, run the same statement
 * under the same id: if it ran before, the recorded answer is returned.
 */
public final class RequestIds {

  /** Longest id in characters. */
  public static final int MAX_LENGTH = 128;

  private static final ThreadLocal<String> CURRENT = new ThreadLocal<>();

  private RequestIds() {}

  /**
   * Uses an id for the calls of this thread until the scope is closed.
   *
   * @throws IllegalArgumentException if the id is blank, too long or has other characters than
   *     visible ASCII
   */
  public static Scope use(String requestId) {
    if (requestId.isBlank() || requestId.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a request id has 1 to " + MAX_LENGTH + " characters, but got " + requestId.length());
    }
    if (!requestId.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
      throw new IllegalArgumentException("a request id has visible ASCII characters only");
    }
    String outer = CURRENT.get();
    CURRENT.set(requestId);
    return new Scope(outer);
  }

  /** Uses a new random id for the calls of this thread until the scope is closed. */
  public static Scope useRandom() {
    return use(UUID.randomUUID().toString());
  }

  /** Returns the id that calls of this thread carry. */
  public static Optional<String> current() {
    return Optional.ofNullable(CURRENT.get());
  }

  /** The time during which an id is used; restores the outer id when closed. */
  public static final class Scope implements AutoCloseable {

    private final String outer;

    private Scope(String outer) {
      this.outer = outer;
    }

    @Override
    public void close() {
      if (outer == null) {
        CURRENT.remove();
      } else {
        CURRENT.set(outer);
      }
    }
  }
}
