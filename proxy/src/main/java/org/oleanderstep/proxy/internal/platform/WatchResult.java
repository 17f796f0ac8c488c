package org.oleanderstep.proxy.internal.platform;

/** The result of {@link PlatformClient#watch}. */
public sealed interface WatchResult {

  /** The object has a newer version. */
  record Changed(PlatformObject object) implements WatchResult {}

  /** The object did not change while the watch waited. */
  record Unchanged() implements WatchResult {}

  /** The object does not exist any more. */
  record Deleted() implements WatchResult {}
}
