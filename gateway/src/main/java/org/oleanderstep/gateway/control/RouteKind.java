package org.oleanderstep.gateway.control;

/** The consistency that a route guarantees to reads. */
public enum RouteKind {
  /** Reads see every acknowledged commit. */
  PRIMARY(false),
  /** Reads see every commit that was acknowledged longer ago than the route's maximum staleness. */
  BOUNDED_STALENESS(true),
  /** As {@link #BOUNDED_STALENESS}; reads also see every commit of their own session. */
  READ_YOUR_WRITES(true);

  private final boolean readsReplicas;

  RouteKind(boolean readsReplicas) {
    this.readsReplicas = readsReplicas;
  }

  /** Returns whether a replica may serve reads. */
  public boolean readsReplicas() {
    return readsReplicas;
  }
}
