package org.oleanderstep.load.fault;

import com.google.protobuf.util.Durations;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.load.fleet.Fleet;
import org.oleanderstep.load.history.Recorder;
import org.oleanderstep.schema.v1.Fault;

/**
 * Injects the faults of a scenario.
 *
 * <pre>{@code
 * FaultInjector injector = new FaultInjector(fleet, recorder);
 * injector.schedule(scenario.getFaultsList(), warmUp);
 * ...
 * List<InjectedFault> injected = injector.finish();
 * }</pre>
 */
public final class FaultInjector implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(FaultInjector.class);
  private static final Duration FINISH_LIMIT = Duration.ofSeconds(60);

  private final FaultActions actions;
  private final Recorder recorder;
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "faults");
            thread.setDaemon(true);
            return thread;
          });
  private final List<CompletableFuture<InjectedFault>> pending = new ArrayList<>();
  private final Queue<Future<?>> timers = new ConcurrentLinkedQueue<>();

  /** Creates an injector for a running fleet. */
  public FaultInjector(Fleet fleet, Recorder recorder) {
    this.actions = new FaultActions(fleet);
    this.recorder = recorder;
  }

  /** Plans all faults; their times count from now plus the warm-up. */
  public void schedule(List<Fault> faults, Duration warmUp) {
    for (Fault fault : faults) {
      CompletableFuture<InjectedFault> done = new CompletableFuture<>();
      pending.add(done);
      long delay = warmUp.toMillis() + Durations.toMillis(fault.getAt());
      timers.add(timer.schedule(() -> inject(fault, done), delay, TimeUnit.MILLISECONDS));
    }
  }

  private void inject(Fault fault, CompletableFuture<InjectedFault> done) {
    try {
      String subject = actions.resolve(fault.getSubject());
      long at = recorder.now();
      actions.begin(fault, subject);
      LOGGER.info("fault {} of {} began", fault.getKind(), subject);
      InjectedFault injected = new InjectedFault(fault, subject, at);
      long length = Durations.toMillis(fault.getLength());
      if (length == 0) {
        done.complete(injected);
        return;
      }
      timers.add(timer.schedule(() -> undo(injected, done), length, TimeUnit.MILLISECONDS));
    } catch (IOException | RuntimeException e) {
      done.completeExceptionally(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      done.completeExceptionally(e);
    }
  }

  private void undo(InjectedFault injected, CompletableFuture<InjectedFault> done) {
    try {
      actions.end(injected.fault(), injected.process());
      LOGGER.info("fault {} of {} ended", injected.fault().getKind(), injected.process());
      done.complete(injected);
    } catch (IOException | RuntimeException e) {
      done.completeExceptionally(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      done.completeExceptionally(e);
    }
  }

  /**
   * Waits until every fault was injected and undone.
   *
   * @throws IOException if one of them could not be
   */
  public List<InjectedFault> finish() throws IOException, InterruptedException {
    List<InjectedFault> injected = new ArrayList<>();
    for (CompletableFuture<InjectedFault> done : pending) {
      try {
        injected.add(done.get(FINISH_LIMIT.toMillis(), TimeUnit.MILLISECONDS));
      } catch (ExecutionException e) {
        throw new IOException("a fault could not be injected: " + e.getCause(), e);
      } catch (TimeoutException e) {
        throw new IOException("a fault was not undone within " + FINISH_LIMIT, e);
      }
    }
    return injected;
  }

  @Override
  public void close() {
    timers.forEach(future -> future.cancel(true));
    timer.shutdownNow();
  }
}
