package org.oleanderstep.gateway.target;

import org.agrona.collections.LongArrayQueue;
import org.agrona.collections.LongHashSet;

/** The latest distinct digests of a connection, up to a maximum number. Not thread-safe. */
final class RecentDigests {

  private final int max;
  private final LongHashSet digests = new LongHashSet();
  private final LongArrayQueue order = new LongArrayQueue();

  RecentDigests(int max) {
    this.max = max;
  }

  /** Adds a digest, unless it is present. */
  void add(long digest) {
    if (!digests.add(digest)) {
      return;
    }
    order.addLong(digest);
    if (order.size() > max) {
      digests.remove(order.pollLong());
    }
  }

  boolean contains(long digest) {
    return digests.contains(digest);
  }
}
