package org.oleanderstep.core.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Orders the members that may serve a read.
 *
 * <p>A member of the own failure domain is first if it has nearly the shortest expected time, costs
 * of the distance included. Otherwise the first is drawn from the members of nearly the shortest
 * time, with a probability that falls with the time, so that many processes with the same
 * measurements don't all choose one member.
 */
public final class ReadBalancer {

  /**
   * A member that may serve a read.
   *
   * @param expectedMillis the expected time and all costs, above zero
   * @param local whether the member is in the own failure domain
   * @param reserve whether the member is only first if it has the shortest time, as a primary,
   *     which also has the writes to serve
   */
  public record Candidate<T>(T member, double expectedMillis, boolean local, boolean reserve) {

    /** Checks that the time is positive. */
    public Candidate {
      if (!(expectedMillis > 0)) {
        throw new IllegalArgumentException("the time must be positive: " + expectedMillis);
      }
    }

    private double weight() {
      return Math.pow(expectedMillis, -PREFERENCE);
    }
  }

  /** A member of the own failure domain is first up to this ratio to the best one's time. */
  private static final double LOCAL_TOLERANCE = 1.2;

  /** Members that take longer than the best by this factor are not drawn. */
  private static final double NEARLY_BEST = 1.5;

  /** A member that takes twice the time is drawn an eighth as often. */
  private static final double PREFERENCE = 3;

  private final RandomGenerator random;

  /** Creates a balancer that draws by the given random numbers. */
  public ReadBalancer(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the members in the order in which they should be tried. */
  public <T> List<T> order(List<Candidate<T>> candidates) {
    List<Candidate<T>> ordered = new ArrayList<>(candidates);
    ordered.sort(Comparator.comparingDouble(Candidate::expectedMillis));
    if (!ordered.isEmpty() && !ordered.get(0).reserve()) {
      Candidate<T> first = findLocal(ordered).orElseGet(() -> draw(ordered));
      ordered.remove(first);
      ordered.add(0, first);
    }
    return ordered.stream().map(Candidate::member).toList();
  }

  private static <T> Optional<Candidate<T>> findLocal(List<Candidate<T>> ordered) {
    double limit = ordered.get(0).expectedMillis() * LOCAL_TOLERANCE;
    return ordered.stream()
        .filter(c -> c.local() && !c.reserve() && c.expectedMillis() <= limit)
        .findFirst();
  }

  private <T> Candidate<T> draw(List<Candidate<T>> ordered) {
    double limit = ordered.get(0).expectedMillis() * NEARLY_BEST;
    List<Candidate<T>> near =
        ordered.stream().filter(c -> c.expectedMillis() <= limit && !c.reserve()).toList();
    double left = random.nextDouble() * near.stream().mapToDouble(Candidate::weight).sum();
    for (Candidate<T> candidate : near) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate;
      }
    }
    return near.get(near.size() - 1);
  }
}
