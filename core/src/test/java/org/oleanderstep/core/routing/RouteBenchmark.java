package org.oleanderstep.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.position.ReadRequirement;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of a routing decision; run by hand with {@code org.openjdk.jmh.Main
 * RouteBenchmark}.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
@State(Scope.Thread)
public class RouteBenchmark {

  private final StatementRouter router = new StatementRouter(OutstandingStatements.FROM_VIEW);
  private final SplittableRandom random = new SplittableRandom(1);
  private final ReadRequirement requirement =
      new ReadRequirement.AtLeast(new LogPosition(3, 1_000));
  private final GroupView view =
      new GroupView(
          new DatabaseId("service", "orders"),
          3,
          Optional.of(new MemberId("member-a")),
          List.of(member("member-a", 1_010), member("member-b", 1_005), member("member-c", 1_001)));

  private static MemberView member(String name, long index) {
    return new MemberView(
        new MemberId(name), "i", new LogPosition(3, index), 1_000, 2, true, true, false, false);
  }

  /** Routes a read for which two replicas are eligible. */
  @Benchmark
  public RouteDecision read() {
    return router.routeRead(view, requirement, ReadRule.SESSION, 0, random);
  }

  /** Routes a write. */
  @Benchmark
  public RouteDecision write() {
    return router.routeWrite(view);
  }

  /** Classifies a short statement. */
  @Benchmark
  public StatementKind classify() {
    return StatementClassifier.classify("select id, name from board_order where id = ?");
  }
}
