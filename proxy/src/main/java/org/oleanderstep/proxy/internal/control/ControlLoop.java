package org.oleanderstep.proxy.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.MonotonicClock;

/**
 * The event loop of the control thread: runs posted tasks in order, and periodic tasks when they
 * are due.
 */
final class ControlLoop implements AutoCloseable {

  private static final Logger logger = LogManager.getLogger(ControlLoop.class);
  private static final long STOP_TIMEOUT_MILLIS = 2_000;
  private static final long MAX_PARK_NANOS = 50_000_000;

  /** A periodic task; the next period starts at the actual run, so missed runs are skipped. */
  private static final class Periodic {
    private final long periodNanos;
    private final Runnable work;
    private long dueNanos;

    Periodic(long periodNanos, Runnable work, long dueNanos) {
      this.periodNanos = periodNanos;
      this.work = work;
      this.dueNanos = dueNanos;
    }
  }

  private final ManyToOneConcurrentLinkedQueue<Runnable> posted =
      new ManyToOneConcurrentLinkedQueue<>();
  private final List<Periodic> periodic = new ArrayList<>();
  private final MonotonicClock clock;
  private final Thread thread;
  private volatile boolean running = true;
  private volatile boolean parked;

  ControlLoop(String name, MonotonicClock clock) {
    this.clock = clock;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /**
   * Runs a task at once and then with this period. Not thread-safe; call it before {@link #start}
   * or from the control thread.
   */
  void every(Duration period, Runnable work) {
    periodic.add(new Periodic(period.toNanos(), work, clock.nanoTime()));
  }

  void start() {
    thread.start();
  }

  /** Queues a task for the control thread. Thread-safe. */
  void post(Runnable work) {
    posted.offer(work);
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  /** Runs a callback on the control thread with the result or the failure of a call. */
  <T> void onCompletion(CompletableFuture<T> call, BiConsumer<T, Throwable> work) {
    CompletableFuture<T> unused =
        call.whenComplete((result, failure) -> post(() -> work.accept(result, unwrap(failure))));
  }

  private static Throwable unwrap(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  long nanoTime() {
    return clock.nanoTime();
  }

  private void run() {
    while (running) {
      runPosted();
      runPeriodic();
      park();
    }
  }

  private void runPosted() {
    Runnable work = posted.poll();
    while (work != null) {
      runGuarded(work);
      work = posted.poll();
    }
  }

  private void runPeriodic() {
    for (Periodic entry : periodic) {
      long now = clock.nanoTime();
      if (now - entry.dueNanos >= 0) {
        entry.dueNanos = now + entry.periodNanos;
        runGuarded(entry.work);
      }
    }
  }

  private void park() {
    long wait = MAX_PARK_NANOS;
    long now = clock.nanoTime();
    for (Periodic entry : periodic) {
      wait = Math.min(wait, entry.dueNanos - now);
    }
    parked = true;
    if (posted.isEmpty() && wait > 0 && running) {
      LockSupport.parkNanos(wait);
    }
    parked = false;
  }

  /** Logs exceptions of a task, since an exception must not end the control thread. */
  private static void runGuarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      logger.error("a task of the control thread failed", e);
    }
  }

  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
