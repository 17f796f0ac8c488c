package org.oleanderstep.gateway.target;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoublePredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.LoadPolicy;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.log.DecisionLog;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.FailureCode;
import org.oleanderstep.gateway.session.SessionStatus;

/**
 * The service pools of many VMs in front of three model members, on a simulated clock. The load and
 * the members are those of one service of a customer with 23 VMs.
 */
final class SimulatedFleet {

  static final Duration TARGET = Duration.ofMillis(200);
  private static final Duration TIMEOUT = Duration.ofMillis(800);
  private static final Duration QUEUE_TIME = TIMEOUT.multipliedBy(6).dividedBy(10);
  private static final Duration TICK = Duration.ofMillis(20);
  private static final double CONNECT_MILLIS = 12;
  private static final LogPosition POSITION = new LogPosition(1, 1);
  private static final int ZONES = 3;
  private static final int ORGANISATIONS = 12;
  private static final int SLOTS = 4;
  private static final int MAX_QUEUE = 64;

  /** A kind of load: operations per second over all VMs, and the work of each. */
  record Load(int priority, boolean primary, double perSecond, double workMillis) {}

  static final List<Load> CUSTOMER_LOAD =
      List.of(new Load(0, true, 15, 3), new Load(1, false, 69, 9), new Load(2, false, 25, 15));

  /** A statement that reached a member. */
  record Sent(long millis, int vm, int member) {}

  /** An operation that ended. */
  record Ended(long millis, long tookMillis, Load load, boolean served) {
    boolean isSlow() {
      return !served || tookMillis > TARGET.toMillis();
    }
  }

  private record Event(long at, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final SplittableRandom random;
  private final IntUnaryOperator zoneOfVm;
  private final List<ServicePool> vms = new ArrayList<>();
  private final SuspendAwareClock clock = () -> new ClockReading(this.now, this.now / 1_000_000);
  final List<Member> members = new ArrayList<>();
  final List<Sent> sent = new ArrayList<>();
  final List<Ended> ended = new ArrayList<>();
  MeterRegistry metersOfLastVm;
  private long now = Duration.ofHours(1).toNanos();
  private final long startedAt = now;
  private long number;

  /**
   * Creates a fleet.
   *
   * @param zoneOfVm the failure domain of each VM; member N is in the failure domain N
   */
  SimulatedFleet(
      LoadPolicy policy, int vmCount, IntUnaryOperator zoneOfVm, List<Load> loads, long seed) {
    this.zoneOfVm = zoneOfVm;
    random = new SplittableRandom(seed);
    for (int i = 0; i < ZONES; i++) {
      members.add(new Member(i));
    }
    List<TargetMember> described = members.stream().map(Member::describe).toList();
    for (int vm = 0; vm < vmCount; vm++) {
      addVm(policy, vm, vmCount, described);
      for (Load load : loads) {
        scheduleNext(vm, load, load.perSecond() / vmCount);
      }
    }
  }

  private void addVm(LoadPolicy policy, int vm, int vmCount, List<TargetMember> described) {
    TargetConnector connector =
        (member, organisation, listener) ->
            members.get(Integer.parseInt(member.id().name().substring(1))).connect(vm, listener);
    metersOfLastVm = new SimpleMeterRegistry();
    ServicePool pool =
        new ServicePool(
            "main",
            "zone" + zoneOfVm.applyAsInt(vm),
            policy,
            clock,
            connector,
            new DecisionLog(() -> now),
            new TargetMetrics(metersOfLastVm),
            random.split());
    vms.add(pool);
    pool.update(described, Math.max(1, 70 / vmCount));
    at(Duration.ofNanos(random.nextLong(TICK.toNanos())), () -> tick(pool));
  }

  private void tick(ServicePool pool) {
    pool.tick();
    at(TICK, () -> tick(pool));
  }

  private void scheduleNext(int vm, Load load, double perSecond) {
    double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
    at(
        Duration.ofNanos((long) (seconds * 1e9)),
        () -> {
          new Operation(vm, load).start();
          scheduleNext(vm, load, perSecond);
        });
  }

  private void at(Duration delay, Runnable action) {
    events.add(new Event(now + delay.toNanos(), number++, action));
  }

  long millis() {
    return (now - startedAt) / 1_000_000;
  }

  void runUntil(long millis) {
    long end = startedAt + millis * 1_000_000;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  /** Returns the share of the reads of a period that were sent to a member. */
  double shareOf(int member, long fromMillis, long toMillis) {
    return shareOf(s -> true, s -> s.member() == member, fromMillis, toMillis);
  }

  private double shareOf(Predicate<Sent> all, Predicate<Sent> part, long from, long to) {
    return sent.stream()
        .filter(s -> all.test(s) && s.millis() >= from && s.millis() < to)
        .mapToDouble(s -> part.test(s) ? 1 : 0)
        .average()
        .orElse(0);
  }

  /** Returns the share of some operations that missed the target or were not served. */
  double slowShare(Predicate<Load> filter, long fromMillis, long toMillis) {
    return ended.stream()
        .filter(e -> filter.test(e.load()) && e.millis() >= fromMillis && e.millis() < toMillis)
        .mapToDouble(e -> e.isSlow() ? 1 : 0)
        .average()
        .orElse(0);
  }

  /** Returns the share of reads that went to the replica in the own failure domain, if any. */
  double localShare(long fromMillis, long toMillis) {
    return shareOf(
        s -> zoneOfVm.applyAsInt(s.vm()) != 0,
        s -> zoneOfVm.applyAsInt(s.vm()) == s.member(),
        fromMillis,
        toMillis);
  }

  /**
   * Returns the time until the share of reads at a member enters a range.
   *
   * @param window the time over which the share is counted, in milliseconds
   * @return milliseconds; the whole period if the share never enters the range
   */
  long millisUntilShare(int member, DoublePredicate range, long window, long from, long to) {
    for (long t = from; t + window <= to; t += 100) {
      if (range.test(shareOf(member, t, t + window))) {
        return t - from;
      }
    }
    return to - from;
  }

  /** A read or write that is tried at up to six members while its time lasts. */
  private final class Operation implements ReplyHandler {
    private final int vm;
    private final Load load;
    private final long arrivedAt = now;
    private final OrganisationId organisation =
        new OrganisationId("org" + random.nextInt(ORGANISATIONS));
    private LeaseRequest request;
    private PooledConnection connection;
    private int attempts;
    private boolean done;

    private Operation(int vm, Load load) {
      this.vm = vm;
      this.load = load;
    }

    private void start() {
      submit();
      at(TIMEOUT, this::expire);
    }

    private void submit() {
      LeaseRequest.Requirement requirement =
          load.primary()
              ? LeaseRequest.Requirement.PRIMARY
              : new LeaseRequest.Requirement(
                  Optional.of(Duration.ofSeconds(load.priority() * 5L)), () -> LogPosition.START);
      request =
          new LeaseRequest(
              organisation,
              load.priority(),
              requirement,
              now,
              arrivedAt + QUEUE_TIME.toNanos(),
              this::granted,
              reason -> finish(false));
      vms.get(vm).submit(request);
    }

    private void granted(Lease lease) {
      attempts++;
      connection = lease.connection();
      MemberPool pool = connection.pool();
      if (!load.primary()) {
        int member = Integer.parseInt(pool.member().id().name().substring(1));
        sent.add(new Sent(millis(), vm, member));
      }
      String work = Double.toString(load.workMillis());
      connection.send(new TargetCommand.Run("1", work, Optional.empty()), load.primary(), this);
    }

    @Override
    public void replied(TargetReply reply) {
      MemberPool pool = connection.pool();
      vms.get(vm).release(connection);
      end(pool, reply.succeeded());
    }

    @Override
    public void lost(String reason) {
      end(connection.pool(), false);
    }

    private void end(MemberPool pool, boolean served) {
      connection = null;
      if (done || served || load.primary() || attempts > 5) {
        finish(served);
      } else {
        submit();
        request.avoid(pool, now + Duration.ofMillis(10).toNanos());
      }
    }

    private void expire() {
      if (done) {
        return;
      }
      vms.get(vm).cancel(request);
      finish(false);
      if (connection != null) {
        connection.close("expired");
      }
    }

    private void finish(boolean served) {
      if (!done) {
        done = true;
        ended.add(new Ended(millis(), (now - arrivedAt) / 1_000_000, load, served));
      }
    }
  }

  /** A member that runs statements in its slots and queues others. */
  final class Member {
    private final int index;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private int running;
    double slowFactor = 1;

    /** How much each further running statement adds to the time of all, as a factor. */
    double contention;

    double failShare;
    boolean hangs;
    double hangShare;

    private Member(int index) {
      this.index = index;
    }

    private TargetMember describe() {
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
      return new TargetMember(
          new MemberId("m" + index), 1, "main", address, "zone" + index, SLOTS, false, index == 0);
    }

    private Runnable connect(int vm, TargetConnector.Listener listener) {
      // The pool ignores a connection that opens after its attempt was cancelled.
      Runnable open = () -> listener.opened(new Link(vm, listener), Optional.of(POSITION));
      at(delayFrom(vm), () -> run(CONNECT_MILLIS, () -> at(delayFrom(vm), open)));
      return () -> {};
    }

    private Duration delayFrom(int vm) {
      return Duration.ofNanos(zoneOfVm.applyAsInt(vm) == index ? 300_000 : 1_500_000);
    }

    private void run(double workMillis, Runnable onEnd) {
      if (hangs) {
        return;
      }
      if (running == SLOTS) {
        queue.add(() -> run(workMillis, onEnd));
        return;
      }
      running++;
      double factor = slowFactor * (1 + contention * (running - 1));
      double spread = 0.7 + 0.6 * random.nextDouble();
      at(Duration.ofNanos((long) (workMillis * factor * spread * 1e6)), () -> end(onEnd));
    }

    private void end(Runnable onEnd) {
      running--;
      onEnd.run();
      if (!queue.isEmpty()) {
        queue.poll().run();
      }
    }

    private final class Link implements TargetLink {
      private final int vm;
      private final TargetConnector.Listener listener;
      private SessionStatus status = SessionStatus.IDLE;
      private long commands;

      private Link(int vm, TargetConnector.Listener listener) {
        this.vm = vm;
        this.listener = listener;
      }

      @Override
      public void send(TargetCommand command) {
        commands++;
        if (command instanceof TargetCommand.Run run) {
          at(delayFrom(vm), () -> receive(Double.parseDouble(run.text())));
        } else {
          SessionStatus after = command.statusAfterSuccess(status);
          at(delayFrom(vm), () -> answer(Answer.DONE, after));
        }
      }

      private void receive(double workMillis) {
        if (random.nextDouble() < hangShare) {
          return;
        }
        if (queue.size() >= MAX_QUEUE) {
          answer(new Answer.Failure(FailureCode.OVERLOADED, "full " + number), status);
        } else {
          run(workMillis, () -> answer(statementAnswer(), status));
        }
      }

      private Answer statementAnswer() {
        return random.nextDouble() < failShare
            ? new Answer.Failure(FailureCode.FAILED, "failed " + number)
            : new Answer.Success(List.of(), "proof" + number);
      }

      private void answer(Answer answer, SessionStatus after) {
        if (hangs) {
          return;
        }
        status = after;
        TargetReply reply =
            new TargetReply(answer, after, Optional.of(POSITION), Optional.empty(), commands);
        at(delayFrom(vm), () -> listener.replied(reply));
      }

      @Override
      public void flush() {}

      @Override
      public void close() {}
    }
  }
}
