package org.oleanderstep.gateway.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.oleanderstep.core.admission.DemandMeter;
import org.oleanderstep.core.admission.RateShares;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Operations that wait for a token of their organisation's rate.
 *
 * <pre>{@code
 * queues.submit(task, now);
 * queues.tick(now);
 * }</pre>
 *
 * <p>Answers a load that comes in bunches, for which a short wait costs a caller less than a
 * refusal and a new try. An operation for which no token can accrue in time is refused at once, so
 * that its caller can try another VM. More urgent routes go first, then those that came first.
 * Belongs to the traffic thread; times are steady nanoseconds.
 */
public final class AdmissionQueues {

  private final RateShares rates;
  private final DemandMeter demand;
  private final Map<OrganisationId, List<AdmissionTask>> waiting = new HashMap<>();

  /** Creates empty queues in front of the rates, which count what is asked for. */
  public AdmissionQueues(RateShares rates, DemandMeter demand) {
    this.rates = rates;
    this.demand = demand;
  }

  /** Admits an operation, lets it wait, or refuses it if it would wait for too long. */
  void submit(AdmissionTask task, long now) {
    OrganisationId organisation = task.organisation();
    demand.record(organisation);
    List<AdmissionTask> queue = waiting.computeIfAbsent(organisation, o -> new ArrayList<>());
    int place = placeOf(task, queue);
    Duration wait = rates.timeUntil(organisation, place + 1, now);
    if (place == 0 && rates.tryAcquire(organisation, now)) {
      task.admit();
    } else if (wait.compareTo(task.patience(now)) > 0) {
      task.refuse();
    } else {
      queue.add(place, task);
    }
  }

  private static int placeOf(AdmissionTask task, List<AdmissionTask> queue) {
    int place = 0;
    while (place < queue.size() && queue.get(place).priority() <= task.priority()) {
      place++;
    }
    return place;
  }

  /** Removes an operation whose caller is gone. */
  void cancel(AdmissionTask task) {
    waiting.getOrDefault(task.organisation(), List.of()).remove(task);
  }

  /** Admits those for which tokens have accrued, and refuses those that waited for too long. */
  public void tick(long now) {
    for (OrganisationId organisation : List.copyOf(waiting.keySet())) {
      List<AdmissionTask> queue = waiting.get(organisation);
      while (!queue.isEmpty() && rates.tryAcquire(organisation, now)) {
        queue.remove(0).admit();
      }
      removeExpired(queue, now).forEach(AdmissionTask::refuse);
      if (queue.isEmpty()) {
        waiting.remove(organisation);
      }
    }
  }

  private static List<AdmissionTask> removeExpired(List<AdmissionTask> queue, long now) {
    List<AdmissionTask> expired = new ArrayList<>();
    for (Iterator<AdmissionTask> tasks = queue.iterator(); tasks.hasNext(); ) {
      AdmissionTask task = tasks.next();
      if (task.patience(now).isNegative()) {
        tasks.remove();
        expired.add(task);
      }
    }
    return expired;
  }
}
