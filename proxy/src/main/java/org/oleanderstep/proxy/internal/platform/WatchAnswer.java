package org.oleanderstep.proxy.internal.platform;

/** The answer to a watch. */
public sealed interface WatchAnswer {

  /** The object has a newer version. */
  record Changed(PlatformObject object) implements WatchAnswer {}

  /** The object did not change while the watch waited. */
  record Unchanged() implements WatchAnswer {}

  /** The object does not exist any more. */
  record Deleted() implements WatchAnswer {}
}
