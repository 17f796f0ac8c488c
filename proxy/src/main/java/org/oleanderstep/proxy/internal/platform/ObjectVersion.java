package org.oleanderstep.proxy.internal.platform;

/**
 * The version of an object of the platform.
 *
 * <p>A platform that returns to an older copy gives out the same numbers again, so a number means
 * something only together with its era. Both are packed into one {@code long}, which is unique and
 * rises over all eras.
 *
 * @param era counts how often the platform returned to an older copy
 * @param number the platform's own version
 */
record ObjectVersion(long era, long number) {

  private static final int NUMBER_BITS = 40;

  /** Returns the version that a {@code long} stands for. */
  static ObjectVersion of(long packed) {
    return new ObjectVersion(packed >> NUMBER_BITS, packed & ((1L << NUMBER_BITS) - 1));
  }

  /** Packs the version into a {@code long}. */
  long pack() {
    return (era << NUMBER_BITS) | number;
  }
}
