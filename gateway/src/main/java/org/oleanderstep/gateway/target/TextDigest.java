package org.oleanderstep.gateway.target;

import java.util.List;

/** A digest of a sequence of texts, by the method of Fowler, Noll and Vo. */
record TextDigest(long value) {

  static final TextDigest EMPTY = new TextDigest(0xcbf29ce484222325L);

  private static final long PRIME = 0x100000001b3L;

  static long of(String text) {
    return EMPTY.add(text).value;
  }

  TextDigest add(String text) {
    long digest = value;
    for (int i = 0; i < text.length(); i++) {
      digest = (digest ^ text.charAt(i)) * PRIME;
    }
    // Separates texts, so that two do not equal the one that joins them.
    return new TextDigest((digest ^ (1L << Integer.SIZE | text.length())) * PRIME);
  }

  TextDigest addAll(List<String> texts) {
    TextDigest digest = this;
    for (String text : texts) {
      digest = digest.add(text);
    }
    return digest;
  }
}
