package org.oleanderstep.gateway.target;

import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.session.Answer;

/**
 * Remembers the latest replies of a connection, so that one that arrives again is recognised.
 *
 * <p>Keeps digests of 64 bits only. Not thread-safe.
 */
final class ReplyHistory {

  /** More than a busy connection gets within a few seconds. */
  private static final int MAX_PROOFS = 1_024;

  /** Replies without a proof recur, apart from their positions. */
  private static final int MAX_OTHERS = 256;

  private final RecentDigests proofs = new RecentDigests(MAX_PROOFS);
  private final RecentDigests proven = new RecentDigests(MAX_PROOFS);
  private final RecentDigests plain = new RecentDigests(MAX_OTHERS);
  private final RecentDigests refusalsWithPosition = new RecentDigests(MAX_OTHERS);
  private final RecentDigests confirmationsWithPosition = new RecentDigests(MAX_OTHERS);

  /** Adds a reply that was accepted as that to a command. */
  void add(TargetReply reply) {
    if (reply.proof().isPresent()) {
      proofs.add(TextDigest.of(reply.proof().get()));
      proven.add(content(reply));
      return;
    }
    plain.add(content(reply));
    withPosition(reply).add(contentWithPosition(reply));
  }

  /** Returns whether an earlier reply had this proof. */
  boolean hasProof(String proof) {
    return proofs.contains(TextDigest.of(proof));
  }

  /** Returns whether an earlier reply was the same, apart from its position. */
  boolean contains(TargetReply reply) {
    return (reply.proof().isPresent() ? proven : plain).contains(content(reply));
  }

  /** Returns whether an earlier reply without a proof was the same and had the same position. */
  boolean containsWithPosition(TargetReply reply) {
    return withPosition(reply).contains(contentWithPosition(reply));
  }

  private RecentDigests withPosition(TargetReply reply) {
    return reply.succeeded() ? confirmationsWithPosition : refusalsWithPosition;
  }

  private static long content(TargetReply reply) {
    TextDigest digest = TextDigest.EMPTY.add(reply.status().name());
    if (reply.answer() instanceof Answer.Failure failure) {
      return digest.add(failure.code().name()).add(failure.text()).value();
    }
    Answer.Success success = (Answer.Success) reply.answer();
    return digest.add(success.proof()).addAll(success.rows()).value();
  }

  private static long contentWithPosition(TargetReply reply) {
    String position = reply.position().map(LogPosition::toString).orElse("");
    return new TextDigest(content(reply)).add(position).value();
  }
}
