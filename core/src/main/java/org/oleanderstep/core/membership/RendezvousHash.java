package org.oleanderstep.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous (highest-random-weight) hashing: all processes rank the same candidates for a key in
 * the same order, and removing a candidate does not change the order of the others.
 *
 * <pre>{@code
 * long weight = RendezvousHash.weight("domain-a", vm.name());
 * }</pre>
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Returns the weight of a candidate for a key; the highest unsigned weight ranks first. */
  public static long weight(String key, String candidate) {
    long hash = fnv(FNV_OFFSET, key);
    hash = (hash ^ 0xff) * FNV_PRIME;
    return mix(fnv(hash, candidate));
  }

  /** Returns the number of candidates that rank before the given one. */
  public static int rank(String key, String candidate, Collection<String> candidates) {
    long own = weight(key, candidate);
    return (int)
        candidates.stream()
            .filter(other -> Long.compareUnsigned(weight(key, other), own) > 0)
            .count();
  }

  /**
   * Returns the given number of candidates that rank first for a key, or all if there are fewer.
   */
  public static <T> List<T> first(
      String key, Collection<T> candidates, Function<T, String> name, int count) {
    record Weighted<T>(T candidate, long weight) {}

    return candidates.stream()
        .map(candidate -> new Weighted<>(candidate, weight(key, name.apply(candidate))))
        .sorted((a, b) -> Long.compareUnsigned(b.weight, a.weight))
        .limit(count)
        .map(Weighted::candidate)
        .toList();
  }

  private static long fnv(long start, String text) {
    long hash = start;
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  // FNV hashes of short, similar names differ little in their high bits. The finalizer of
  // MurmurHash3 distributes them.
  private static long mix(long hash) {
    long mixed = hash;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
