package org.oleanderstep.standins.platform;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import org.oleanderstep.schema.v1.PlatformFaults;

/** What all connections to the stand-in share. */
final class PlatformState {

  private final ObjectStore objects;
  private final VmRegistry vms;
  private final Faults faults = new Faults();
  private final CallCounts counts = new CallCounts();
  private final Map<Channel, String> waiting = new ConcurrentHashMap<>();
  private volatile Optional<ObjectStore.Copy> copy = Optional.empty();

  PlatformState(ObjectStore objects, VmRegistry vms) {
    this.objects = objects;
    this.vms = vms;
  }

  ObjectStore objects() {
    return objects;
  }

  VmRegistry vms() {
    return vms;
  }

  Faults faults() {
    return faults;
  }

  CallCounts counts() {
    return counts;
  }

  void addWaiting(Channel channel, String vm) {
    waiting.put(channel, vm);
  }

  void removeWaiting(Channel channel) {
    waiting.remove(channel);
  }

  void copyObjects() {
    copy = Optional.of(objects.copy());
  }

  void restoreObjects() {
    objects.restore(copy.orElseThrow(() -> new IllegalStateException("no copy was made")));
  }

  /** Replaces the faults and closes waiting watches that they cut off. */
  void replaceFaults(PlatformFaults replacement) {
    faults.replace(replacement);
    waiting.forEach(
        (channel, vm) -> {
          if (faults.dropsRequestOf(vm)) {
            Future<?> unused = channel.close();
          }
        });
  }
}
