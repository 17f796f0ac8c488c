package org.oleanderstep.core.idempotency;

import java.nio.ByteBuffer;

/**
 * A row of the table {@code oleanderstep_requests}, which records the ids of requests.
 *
 * @param answer the recorded answer in the adapter's encoding; empty for an abandoned request
 */
public record RecordedRequest(RequestFingerprint fingerprint, Result result, ByteBuffer answer) {

  /** What the row records about its request. */
  public enum Result {
    /** The request ran and committed together with the row. */
    COMPLETED,
    /** The row was inserted so that the request can never commit. */
    ABANDONED
  }

  /** Copies the answer. */
  public RecordedRequest {
    ByteBuffer copy = ByteBuffer.allocate(answer.remaining());
    copy.put(answer.duplicate()).flip();
    answer = copy.asReadOnlyBuffer();
  }

  /** Returns the row of a request that committed. */
  public static RecordedRequest completed(RequestFingerprint fingerprint, byte[] answer) {
    return new RecordedRequest(fingerprint, Result.COMPLETED, ByteBuffer.wrap(answer));
  }

  /** Returns the row that prevents a request from committing. */
  public static RecordedRequest abandoned(RequestFingerprint fingerprint) {
    return new RecordedRequest(fingerprint, Result.ABANDONED, ByteBuffer.allocate(0));
  }

  /** Returns the answer as a read-only buffer with a position of its own. */
  @Override
  public ByteBuffer answer() {
    return answer.asReadOnlyBuffer();
  }
}
