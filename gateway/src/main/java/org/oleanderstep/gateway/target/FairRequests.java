package org.oleanderstep.gateway.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.scheduling.QueueRefusal;
import org.oleanderstep.core.scheduling.ServiceQueue;
import org.oleanderstep.gateway.log.DecisionLog;

/**
 * Requests in a {@link ServiceQueue}, with those whose next attempt is delayed beside it.
 *
 * <p>A refusal may make a session submit its next request. Refusals are therefore collected and
 * made one after the other, so that a crowd of them does not nest.
 */
final class FairRequests implements WaitingRequests {

  /**
   * Requests that may wait or be delayed, of each. Even at one millisecond a request, more than
   * these could not be served within the timeouts of usual routes.
   */
  static final int CAPACITY = 512;

  private final String service;
  private final ServiceQueue<LeaseRequest> queue;
  private final DecisionLog log;
  private final QueueMetrics metrics;
  private final List<LeaseRequest> delayed = new ArrayList<>();
  private final Deque<ServiceQueue.Refused<LeaseRequest>> refused = new ArrayDeque<>();
  private Optional<Lease> taken = Optional.empty();
  private boolean refusing;

  /** Creates the requests of a service. */
  FairRequests(
      String service, ServiceQueue<LeaseRequest> queue, DecisionLog log, QueueMetrics metrics) {
    this.service = service;
    this.queue = queue;
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void submit(LeaseRequest request, long now) {
    if (!request.isDue(now) && delayed.size() < CAPACITY) {
      delayed.add(request);
      return;
    }
    offer(request, now);
    makeRefusals();
  }

  private void offer(LeaseRequest request, long now) {
    metrics.onWaiting(request.priority());
    queue
        .offer(request, now)
        .ifPresent(
            refusal -> {
              metrics.onLeft(refusal.request().priority());
              refused.add(refusal);
            });
  }

  private void offerDue(long now) {
    if (delayed.isEmpty()) {
      return;
    }
    for (LeaseRequest request : List.copyOf(delayed)) {
      if (request.isDue(now)) {
        delayed.remove(request);
        offer(request, now);
      }
    }
  }

  private void makeRefusals() {
    if (refusing) {
      return;
    }
    refusing = true;
    try {
      while (!refused.isEmpty()) {
        refuse(refused.remove());
      }
    } finally {
      refusing = false;
    }
  }

  private void refuse(ServiceQueue.Refused<LeaseRequest> refusal) {
    LeaseRequest request = refusal.request();
    QueueRefusal.Reason reason = refusal.refusal().reason();
    metrics.recordRefusal(request.priority(), reason);
    log.request(reason == QueueRefusal.Reason.SHED ? "shed" : "queue_refused")
        .with("service", service)
        .with("organisation", request.organisation().name())
        .with("priority", request.priority())
        .with("reason", reason)
        .with("estimate_ms", refusal.refusal().estimate().toMillis())
        .with("waiting", queue.size())
        .write();
    request.refuse(refusal.refusal().text());
  }

  @Override
  public void cancel(LeaseRequest request) {
    if (queue.remove(request)) {
      metrics.onLeft(request.priority());
    }
    delayed.remove(request);
    refused.removeIf(refusal -> refusal.request() == request);
  }

  @Override
  public void grant(Taker taker, Supplier<List<Idle>> idle, long now) {
    // Otherwise a request that goes first would replace a connection that others wait for.
    idle.get().forEach(connection -> grantIdle(connection, taker, now));
    queue.startPass();
    Optional<LeaseRequest> next = queue.next(now, request -> take(taker, request, true));
    while (next.isPresent()) {
      grantTaken(next.get(), now);
      next = queue.next(now, request -> take(taker, request, true));
    }
  }

  private void grantIdle(Idle connection, Taker taker, long now) {
    queue
        .nextOf(
            connection.organisation(),
            connection.unused(),
            now,
            request -> take(taker, request, false))
        .ifPresent(request -> grantTaken(request, now));
  }

  private boolean take(Taker taker, LeaseRequest request, boolean mayOpen) {
    taken = taker.tryTake(request, mayOpen);
    return taken.isPresent();
  }

  private void grantTaken(LeaseRequest request, long now) {
    metrics.onLeft(request.priority());
    metrics.recordWait(request.priority(), now - request.enqueuedAt());
    request.grant(taken.orElseThrow());
  }

  @Override
  public void refuseAll(String reason) {
    List<LeaseRequest> left = queue.drain();
    left.forEach(request -> metrics.onLeft(request.priority()));
    left.addAll(delayed);
    delayed.clear();
    left.forEach(request -> request.refuse(reason));
  }

  @Override
  public void tick(long now) {
    offerDue(now);
    for (ServiceQueue.Refused<LeaseRequest> refusal : queue.removeUnservable(now)) {
      metrics.onLeft(refusal.request().priority());
      refused.add(refusal);
    }
    makeRefusals();
  }

  @Override
  public boolean needsPrimary() {
    return queue.needsPrimary();
  }

  @Override
  public boolean isEmpty() {
    return queue.size() == 0;
  }

  @Override
  public void recordHoldTime(boolean ofPrimary, long nanos, long now) {
    queue.recordHoldTime(ofPrimary, nanos, now);
  }

  @Override
  public void recordOpening(long nanos, long now) {
    queue.recordOpening(nanos, now);
  }

  @Override
  public void setWeights(Map<OrganisationId, Double> weights) {
    queue.setWeights(weights);
  }
}
