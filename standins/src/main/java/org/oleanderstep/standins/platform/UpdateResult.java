package org.oleanderstep.standins.platform;

import java.util.Optional;

/** What became of an update. */
sealed interface UpdateResult {

  /** The update took effect and the object has this version now. */
  record Updated(long version) implements UpdateResult {}

  /** The condition did not hold; the object has this version, or does not exist. */
  record Conflict(Optional<Long> present) implements UpdateResult {}
}
