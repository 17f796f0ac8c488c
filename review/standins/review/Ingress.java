package review;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** The platform's address for clients of one zone, as PROTOCOL.md describes it. */
final class Ingress {

  private static final int MISSES_TO_TAKE_OUT = 2;

  private final List<Fleet.Proxy> nodes;
  private final Set<Fleet.Proxy> out = new HashSet<>();
  private final Recorder record;

  Ingress(List<Fleet.Proxy> nodes, Recorder record) {
    this.nodes = nodes;
    this.record = record;
    for (Fleet.Proxy node : nodes) {
      Thread thread = new Thread(() -> check(node));
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void check(Fleet.Proxy node) {
    int misses = 0;
    try {
      while (true) {
        misses = node.isReady() ? 0 : misses + 1;
        set(node, misses);
        Thread.sleep(1_000);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void set(Fleet.Proxy node, int misses) {
    if (misses >= MISSES_TO_TAKE_OUT && out.add(node)) {
      record.say(node.name + " is out of rotation");
    } else if (misses == 0 && out.remove(node)) {
      record.say(node.name + " is in rotation again");
    }
  }

  /**
   * Returns the node for a new connection: one in rotation, or any of the zone if fewer than half
   * are in rotation. Returns null if none is; the nodes of other zones would be used then.
   */
  synchronized Fleet.Proxy choose() {
    List<Fleet.Proxy> in = new ArrayList<>(nodes);
    in.removeAll(out);
    if (in.isEmpty()) {
      return null;
    }
    List<Fleet.Proxy> used = in.size() * 2 < nodes.size() ? nodes : in;
    return used.get(ThreadLocalRandom.current().nextInt(used.size()));
  }
}
