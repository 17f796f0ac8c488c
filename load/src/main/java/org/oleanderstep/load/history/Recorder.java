package org.oleanderstep.load.history;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.oleanderstep.core.MonotonicClock;
import org.oleanderstep.schema.v1.Operation;

/** Collects the operations of all sessions of one run; safe for use by many threads. */
public final class Recorder {

  private final MonotonicClock clock;
  private final long origin;
  private final AtomicLong ids = new AtomicLong();
  private final Queue<Operation> operations = new ConcurrentLinkedQueue<>();

  /** Starts the time of the run. */
  public Recorder(MonotonicClock clock) {
    this.clock = clock;
    this.origin = clock.nanoTime();
  }

  /** Returns the nanoseconds since the start of the run. */
  public long now() {
    return clock.nanoTime() - origin;
  }

  /** Returns an operation id that no other operation of the run has. */
  public long nextId() {
    return ids.incrementAndGet();
  }

  /** Adds a finished operation. */
  public void add(Operation operation) {
    operations.add(operation);
  }

  /** Returns the operations that have finished so far. */
  public List<Operation> operations() {
    return List.copyOf(operations);
  }
}
