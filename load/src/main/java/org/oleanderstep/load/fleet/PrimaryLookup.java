package org.oleanderstep.load.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.MonotonicClock;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.Role;

/**
 * Finds the primary of a group.
 *
 * <p>Members may answer too late on a busy machine, and a group has no primary for some seconds
 * while it is replaced, so a single look may find none.
 */
final class PrimaryLookup {

  private static final Logger LOGGER = LogManager.getLogger(PrimaryLookup.class);
  private static final Duration PAUSE = Duration.ofMillis(200);

  private PrimaryLookup() {}

  /** Returns the name of the process of the primary of the highest term, if a member is one. */
  static Optional<String> find(List<MemberStatus> statuses) {
    return statuses.stream()
        .filter(status -> status.getRole() == Role.PRIMARY)
        .max(Comparator.comparingLong(MemberStatus::getTerm))
        .map(status -> "member/" + status.getMember());
  }

  /**
   * Looks until a member is the primary. Returns an empty result if none is within the limit.
   *
   * @param statuses asks the members for their status
   */
  static Optional<String> await(
      Supplier<List<MemberStatus>> statuses, Duration limit, MonotonicClock clock)
      throws InterruptedException {
    long start = clock.nanoTime();
    while (true) {
      List<MemberStatus> seen = statuses.get();
      Optional<String> primary = find(seen);
      if (primary.isPresent() || clock.nanoTime() - start >= limit.toNanos()) {
        return primary;
      }
      LOGGER.info("no primary among the {} members that answered: {}", seen.size(), seen);
      Thread.sleep(PAUSE.toMillis());
    }
  }
}
