package org.oleanderstep.standins.platform;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderstep.schema.v1.PlatformStats;

/** Calls since the start of the stand-in, also those that a fault left without an answer. */
final class CallCounts {

  final LongAdder reads = new LongAdder();
  final LongAdder updates = new LongAdder();
  final LongAdder lists = new LongAdder();
  final LongAdder watches = new LongAdder();
  final LongAdder vmLists = new LongAdder();
  final LongAdder conflicts = new LongAdder();
  final AtomicInteger waitingWatches = new AtomicInteger();

  PlatformStats snapshot() {
    return PlatformStats.newBuilder()
        .setReads(reads.sum())
        .setUpdates(updates.sum())
        .setLists(lists.sum())
        .setWatches(watches.sum())
        .setVmLists(vmLists.sum())
        .setConflicts(conflicts.sum())
        .setWaitingWatches(waitingWatches.get())
        .build();
  }
}
