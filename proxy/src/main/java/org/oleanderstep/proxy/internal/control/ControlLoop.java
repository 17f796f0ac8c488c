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
 * The thread that owns the control state: runs posted work in order, and periodic work when it is
 * due.
 */
final class ControlLoop implements AutoCloseable {

  private static final Logger logger = LogManager.getLogger(ControlLoop.class);
  private static final long STOP_MILLIS = 2_000;
  private static final long MAX_PARK_NANOS = 50_000_000;

  /** Work that is due again and again; a late run is not made up for. */
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

  /** Runs work at once and then at this period; call it before the start or on the thread. */
  void every(Duration period, Runnable work) {
    periodic.add(new Periodic(period.toNanos(), work, clock.nanoTime()));
  }

  void start() {
    thread.start();
  }

  /** Hands work to the thread; may be called by any thread. */
  void post(Runnable work) {
    posted.offer(work);
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  /** Hands the result or the failure of a call to the thread. */
  <T> void onCompletion(CompletableFuture<T> call, BiConsumer<T, Throwable> work) {
    CompletableFuture<T> unused =
        call.whenComplete(
            (result, failure) -> post(() -> work.accept(result, withoutWrapper(failure))));
  }

  private static Throwable withoutWrapper(Throwable failure) {
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

  /** A failure of one piece of work must not end the thread that everything depends on. */
  private static void runGuarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      logger.error("work of the control thread failed", e);
    }
  }

  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    try {
      thread.join(STOP_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
