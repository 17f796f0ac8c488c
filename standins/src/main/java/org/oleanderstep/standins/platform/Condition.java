package org.oleanderstep.standins.platform;

import java.util.Optional;

/** What must hold of an object for an update to take effect. */
sealed interface Condition {

  /** Returns whether the condition holds for the present version of an object. */
  boolean holds(Optional<Long> present);

  /** Always holds. */
  record None() implements Condition {
    @Override
    public boolean holds(Optional<Long> present) {
      return true;
    }
  }

  /** Holds while there is no such object. */
  record Absent() implements Condition {
    @Override
    public boolean holds(Optional<Long> present) {
      return present.isEmpty();
    }
  }

  /** Holds while the object has exactly this version. */
  record AtVersion(long version) implements Condition {
    @Override
    public boolean holds(Optional<Long> present) {
      return present.isPresent() && present.get() == version;
    }
  }
}
