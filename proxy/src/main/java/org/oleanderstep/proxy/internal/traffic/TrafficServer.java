package org.oleanderstep.proxy.internal.traffic;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.scheduling.DrainPlan;
import org.oleanderstep.proxy.internal.caller.CallService;
import org.oleanderstep.proxy.internal.caller.CallerServer;
import org.oleanderstep.proxy.internal.target.RequestIdPurge;
import org.oleanderstep.proxy.internal.target.TargetAccount;
import org.oleanderstep.proxy.internal.target.Targets;
import org.oleanderstep.proxy.internal.target.TrafficContext;

/**
 * The traffic plane of a proxy: the server for callers and the connections to targets.
 *
 * <pre>{@code
 * TrafficServer traffic = TrafficServer.start(control, settings, account, registry);
 * control.onPublish(traffic::onSnapshot);
 * }</pre>
 */
public final class TrafficServer implements TrafficPlane {

  private static final Logger LOG = LogManager.getLogger(TrafficServer.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(5);
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);
  private static final Duration REFUSAL_PERIOD = Duration.ofMillis(300);
  private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);
  private static final Duration PURGE_INTERVAL = Duration.ofSeconds(10);
  private static final int EVENT_LOOP_THREADS = 2;

  private final ControlPlane control;
  private final TrafficSettings settings;
  private final EventLoopGroup eventLoops;
  private final ThreadPoolExecutor workers;
  private final ScheduledExecutorService timer;
  private final Targets targets;
  private final RequestIdPurge purge;
  private final CallService service;
  private final CallerServer server;
  private final AtomicBoolean closed = new AtomicBoolean();

  private TrafficServer(
      ControlPlane control,
      TrafficSettings settings,
      TargetAccount account,
      MeterRegistry registry,
      InstantSource wallClock) {
    this.control = control;
    this.settings = settings;
    eventLoops =
        new MultiThreadIoEventLoopGroup(
            EVENT_LOOP_THREADS,
            new DefaultThreadFactory("oleanderstep-callers", true),
            NioIoHandler.newFactory());
    workers =
        new ThreadPoolExecutor(
            settings.workers(),
            settings.workers(),
            60,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            new DefaultThreadFactory("oleanderstep-worker", true));
    workers.allowCoreThreadTimeOut(true);
    timer =
        Executors.newSingleThreadScheduledExecutor(
            new DefaultThreadFactory("oleanderstep-timer", true));
    TrafficContext context =
        new TrafficContext(
            control, settings, account, workers, this::schedule, new TrafficMetrics(registry));
    targets = new Targets(context);
    purge = new RequestIdPurge(targets, wallClock);
    service = new CallService(context, targets, wallClock);
    server = new CallerServer(eventLoops, settings, service);
  }

  /** Starts serving callers. */
  public static TrafficServer start(
      ControlPlane control,
      TrafficSettings settings,
      TargetAccount account,
      MeterRegistry registry,
      InstantSource wallClock) {
    TrafficServer traffic = new TrafficServer(control, settings, account, registry, wallClock);
    traffic.onSnapshot(control.snapshot());
    traffic.server.start();
    traffic.schedulePeriodically(TICK_INTERVAL, traffic.targets::tick);
    traffic.schedulePeriodically(SWEEP_INTERVAL, traffic.service::sweep);
    traffic.schedulePeriodically(PURGE_INTERVAL, traffic::purge);
    return traffic;
  }

  private void purge() {
    for (DatabaseId database : control.snapshot().databasesToPurge()) {
      var unused = purge(database, settings.requestIdRetention());
    }
  }

  /** Deletes a batch of old request ids from a database; returns the number deleted. */
  CompletableFuture<Integer> purge(DatabaseId database, Duration retention) {
    return purge.run(database, retention);
  }

  private void schedule(Duration delay, Runnable work) {
    var unused =
        timer.schedule(() -> runLoggingFailure(work), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void schedulePeriodically(Duration period, Runnable work) {
    var unused =
        timer.scheduleAtFixedRate(
            () -> runLoggingFailure(work),
            period.toNanos(),
            period.toNanos(),
            TimeUnit.NANOSECONDS);
  }

  /** Logs a failure of a task: an exception would cancel all further runs of a periodic task. */
  private static void runLoggingFailure(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      LOG.error("a scheduled task failed", e);
    }
  }

  @Override
  public void onSnapshot(ControlSnapshot snapshot) {
    targets.onSnapshot(snapshot);
    service.onSnapshot(snapshot);
  }

  @Override
  public int outstanding(DatabaseId database, MemberId member) {
    return targets.outstanding(database, member);
  }

  @Override
  public int callerPort() {
    return server.port();
  }

  @Override
  public CompletableFuture<Void> drain(Duration drainTime) {
    server.startDraining();
    CompletableFuture<Void> done = new CompletableFuture<>();
    checkDrain(DrainPlan.start(System.nanoTime(), drainTime), done);
    return done;
  }

  private void checkDrain(DrainPlan plan, CompletableFuture<Void> done) {
    DrainPlan.Phase phase =
        plan.phase(System.nanoTime(), service.openTransactions(), service.inFlight());
    if (phase == DrainPlan.Phase.DONE) {
      // Callers that connect at this moment get a refusal that sends them to another proxy. Closing
      // the listener at once would reset their connections in the middle of a call.
      service.refuseAll();
      schedule(
          REFUSAL_PERIOD,
          () -> {
            server.stopAccepting();
            awaitCalls(done);
          });
      return;
    }
    if (System.nanoTime() - plan.transactionDeadline() >= 0) {
      service.refuseAll();
    }
    schedule(DRAIN_CHECK_INTERVAL, () -> checkDrain(plan, done));
  }

  /** Completes a drain once the calls that were read before the listener closed are answered. */
  private void awaitCalls(CompletableFuture<Void> done) {
    if (service.inFlight() == 0) {
      done.complete(null);
    } else {
      schedule(DRAIN_CHECK_INTERVAL, () -> awaitCalls(done));
    }
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    server.close();
    timer.shutdownNow();
    targets.close();
    workers.shutdownNow();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
  }
}
