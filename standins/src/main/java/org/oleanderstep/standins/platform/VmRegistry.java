package org.oleanderstep.standins.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.oleanderstep.schema.v1.Vm;
import org.oleanderstep.schema.v1.VmList;

/** The list of VMs, which shows each change only after a lag. */
final class VmRegistry {

  private record Shown(long atNanos, VmList list) {}

  private final Map<String, Vm> vms = new TreeMap<>();
  private final Deque<Shown> history = new ArrayDeque<>();
  private final long lagNanos;
  private final LongSupplier nanoTime;
  private long version;

  /**
   * Creates an empty list.
   *
   * @param firstVersion version to count from; must be higher after each restart, since a list with
   *     a lower version counts as old
   */
  VmRegistry(Duration lag, LongSupplier nanoTime, long firstVersion) {
    this.version = firstVersion;
    this.lagNanos = lag.toNanos();
    this.nanoTime = nanoTime;
    history.add(new Shown(nanoTime.getAsLong(), VmList.getDefaultInstance()));
  }

  /** Lists VMs at once, for those that exist from the start. */
  synchronized void start(Iterable<Vm> initial) {
    initial.forEach(vm -> vms.put(vm.getName(), vm));
    history.clear();
    history.add(new Shown(nanoTime.getAsLong(), snapshot()));
  }

  synchronized void put(Vm vm) {
    vms.put(vm.getName(), vm);
    recordChange();
  }

  synchronized boolean delete(String name) {
    if (vms.remove(name) == null) {
      return false;
    }
    recordChange();
    return true;
  }

  /** Returns the list as it was one lag ago. */
  synchronized VmList list() {
    long now = nanoTime.getAsLong();
    while (history.size() > 1 && isVisible(second(), now)) {
      history.removeFirst();
    }
    return history.getFirst().list();
  }

  private Shown second() {
    return history.stream().skip(1).findFirst().orElseThrow();
  }

  private boolean isVisible(Shown shown, long now) {
    return now - shown.atNanos() >= lagNanos;
  }

  private void recordChange() {
    history.add(new Shown(nanoTime.getAsLong(), snapshot()));
  }

  private VmList snapshot() {
    version++;
    return VmList.newBuilder().setVersion(version).addAllVms(vms.values()).build();
  }
}
