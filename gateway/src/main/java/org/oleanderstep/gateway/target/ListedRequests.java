package org.oleanderstep.gateway.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.oleanderstep.core.model.OrganisationId;

/** Requests by priority and arrival, which wait until they expire. */
final class ListedRequests implements WaitingRequests {

  private final List<LeaseRequest> waiting = new ArrayList<>();
  private final Supplier<String> refusalReason;

  /** Creates an empty list. */
  ListedRequests(Supplier<String> refusalReason) {
    this.refusalReason = refusalReason;
  }

  @Override
  public void submit(LeaseRequest request, long now) {
    int index = 0;
    while (index < waiting.size() && waiting.get(index).priority() <= request.priority()) {
      index++;
    }
    waiting.add(index, request);
  }

  @Override
  public void cancel(LeaseRequest request) {
    waiting.remove(request);
  }

  @Override
  public void grant(Taker taker, Supplier<List<Idle>> idle, long now) {
    for (LeaseRequest request : List.copyOf(waiting)) {
      if (!waiting.contains(request)) {
        continue;
      }
      if (request.isExpired(now)) {
        waiting.remove(request);
        request.refuse(refusalReason.get());
      } else if (request.isDue(now)) {
        taker
            .tryTake(request, true)
            .ifPresent(
                lease -> {
                  waiting.remove(request);
                  request.grant(lease);
                });
      }
    }
  }

  @Override
  public void refuseAll(String reason) {
    List<LeaseRequest> refused = List.copyOf(waiting);
    waiting.clear();
    refused.forEach(request -> request.refuse(reason));
  }

  @Override
  public void tick(long now) {
    // Expired requests are refused when connections are granted.
  }

  @Override
  public boolean needsPrimary() {
    return waiting.stream().anyMatch(LeaseRequest::needsPrimary);
  }

  @Override
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  @Override
  public void recordHoldTime(boolean ofPrimary, long nanos, long now) {
    // No wait is estimated.
  }

  @Override
  public void recordOpening(long nanos, long now) {
    // No wait is estimated.
  }

  @Override
  public void setWeights(Map<OrganisationId, Double> weights) {
    // Organisations have no weights here.
  }
}
