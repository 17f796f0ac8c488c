package org.oleanderstep.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Events of a simulation run, with the checks of H6 (a withdrawn key is refused within 5 s) and H13
 * (a configuration propagates to all processes and never reverts).
 *
 * <p>Events must be recorded in the order of their times.
 */
final class ConfigurationHistory {

  /** Time in nanoseconds within which a withdrawn key must be refused everywhere. */
  static final long WITHDRAWAL_BOUND = 5_000_000_000L;

  /** Time in nanoseconds within which all processes adopt a generation, if there is no fault. */
  static final long PROPAGATION_BOUND = 3_000_000_000L;

  private record Publication(long time, long generation, String withdrawnKey) {}

  private record Adoption(long time, String process, long generation) {}

  private record Call(long time, String process, String key) {}

  private record Read(String session, long generation) {}

  private record Observation(long time, String process, long generation) {}

  private final List<Publication> publications = new ArrayList<>();
  private final List<Adoption> adoptions = new ArrayList<>();
  private final List<Call> accepted = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();
  private final List<Observation> observations = new ArrayList<>();

  /** Records a publication that withdraws a key. */
  void recordPublication(long time, long generation, String withdrawnKey) {
    publications.add(new Publication(time, generation, withdrawnKey));
  }

  /** Records that a process adopted a generation. */
  void recordAdoption(long time, String process, long generation) {
    adoptions.add(new Adoption(time, process, generation));
  }

  /** Records that a process accepted a call with a key. */
  void recordAcceptedCall(long time, String process, String key) {
    accepted.add(new Call(time, process, key));
  }

  /** Records the generation under which a call of a session was served. */
  void recordServedCall(String session, long generation) {
    reads.add(new Read(session, generation));
  }

  /** Records the generation of a process that had contact to all others for PROPAGATION_BOUND. */
  void recordConnectedObservation(long time, String process, long generation) {
    observations.add(new Observation(time, process, generation));
  }

  long acceptedCalls() {
    return accepted.size();
  }

  /** Returns the number of calls of sessions that were served. */
  long servedCalls() {
    return reads.size();
  }

  /** Returns the number of observations on which propagation is checked. */
  long connectedObservations() {
    return observations.size();
  }

  /** Returns a description of the first violation of H6 or H13; empty if there is none. */
  Optional<String> firstViolation() {
    return findGenerationReversal()
        .or(this::findSessionReversal)
        .or(this::findLateAcceptance)
        .or(this::findSlowPropagation);
  }

  private Optional<String> findGenerationReversal() {
    Map<String, Long> inForce = new HashMap<>();
    for (Adoption adoption : adoptions) {
      Long before = inForce.put(adoption.process(), adoption.generation());
      if (before != null && before > adoption.generation()) {
        return Optional.of("process went back from generation " + before + ": " + adoption);
      }
    }
    return Optional.empty();
  }

  private Optional<String> findSessionReversal() {
    Map<String, Long> seen = new HashMap<>();
    for (Read read : reads) {
      Long before = seen.put(read.session(), read.generation());
      if (before != null && before > read.generation()) {
        return Optional.of("session went back from generation " + before + ": " + read);
      }
    }
    return Optional.empty();
  }

  private Optional<String> findLateAcceptance() {
    Map<String, Long> withdrawnAt = new HashMap<>();
    publications.forEach(item -> withdrawnAt.put(item.withdrawnKey(), item.time()));
    return accepted.stream()
        .filter(call -> withdrawnAt.containsKey(call.key()))
        .filter(call -> call.time() > withdrawnAt.get(call.key()) + WITHDRAWAL_BOUND)
        .findFirst()
        .map(
            call -> "a key withdrawn at " + withdrawnAt.get(call.key()) + " was accepted: " + call);
  }

  private Optional<String> findSlowPropagation() {
    for (Observation observation : observations) {
      for (Publication publication : publications) {
        boolean due = publication.time() + PROPAGATION_BOUND <= observation.time();
        if (due && publication.generation() > observation.generation()) {
          return Optional.of(publication + " had not reached " + observation);
        }
      }
    }
    return Optional.empty();
  }
}
