package org.oleanderstep.core.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.oleanderstep.core.failover.MemberRole;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.idempotency.RecordedRequest;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.simulation.History.Entry;

/** A member of a group by the rules of the design page, with a replicated log of writes. */
final class ModelMember {

  private static final long HEARTBEAT_NANOS = 100 * Simulator.MILLIS;
  private static final long MAJORITY_WINDOW_NANOS = 600 * Simulator.MILLIS;

  /** What a member answers to a statement. */
  sealed interface Reply {

    record Served(LogPosition position, Optional<RecordedRequest> found) implements Reply {}

    record Rejected() implements Reply {}

    record NotConfirmed() implements Reply {}
  }

  /** What a member answers to a read. */
  record ReadReply(LogPosition applied, Set<String> seen) {}

  private record Appended(boolean accepted, long index) {}

  final String name;
  private final Simulator simulator;
  private final History history;
  private final Defect defect;
  private final Map<String, ModelMember> group;

  // Durable.
  private final List<Entry> log = new ArrayList<>();
  private long term;
  private long promisedTerm;
  private String promisedCandidate = "";

  // Lost at a restart.
  private MemberRole role = MemberRole.REPLICA;
  private int incarnation;
  private Optional<MemberId> primary = Optional.empty();
  private int committed;
  private int applied;
  private long lastHeardNanos;
  private final Map<String, Integer> matched = new HashMap<>();
  private final Map<String, Long> acknowledgedNanos = new HashMap<>();
  private final Map<Integer, List<Runnable>> onCommit = new HashMap<>();
  private final Map<Integer, List<Runnable>> onStepDown = new HashMap<>();

  private long applyLagNanos;
  private boolean leaving;

  ModelMember(
      String name,
      Simulator simulator,
      History history,
      Defect defect,
      Map<String, ModelMember> group) {
    this.name = name;
    this.simulator = simulator;
    this.history = history;
    this.defect = defect;
    this.group = group;
    applyLagNanos = simulator.random.nextInt(30) * Simulator.MILLIS;
  }

  // Control port.

  MemberStatus status() {
    boolean isPrimary = role == MemberRole.PRIMARY;
    return new MemberStatus(
        new MemberId(name),
        name + "#" + incarnation,
        role,
        term,
        promisedTerm,
        promisedCandidate,
        positionOf(log.size()),
        positionOf(applied),
        isPrimary ? Duration.ZERO : Duration.ofNanos(simulator.now() - lastHeardNanos),
        isPrimary && isOpen() && hasMajority(),
        leaving,
        primary);
  }

  boolean fence(long claimed, String candidate) {
    boolean repeated = claimed == promisedTerm && candidate.equals(promisedCandidate);
    if (repeated) {
      return true;
    }
    if (claimed <= promisedTerm || claimed <= term) {
      return false;
    }
    promisedTerm = claimed;
    promisedCandidate = candidate;
    history.add(new History.Promised(name, claimed));
    stepDown();
    return true;
  }

  boolean promote(long claimed, String candidate) {
    if (claimed != promisedTerm || !candidate.equals(promisedCandidate)) {
      return false;
    }
    if (role == MemberRole.PRIMARY && term == claimed) {
      return true;
    }
    if (term == claimed) {
      // A restarted primary must not take up its term again: what it lost is not known.
      return false;
    }
    history.add(new History.Promoted(name, claimed, List.copyOf(log)));
    term = claimed;
    role = MemberRole.PRIMARY;
    primary = Optional.of(new MemberId(name));
    matched.clear();
    acknowledgedNanos.clear();
    if (defect != Defect.NO_ENTRY_AT_START_OF_TERM) {
      append("", "", false);
    }
    replicate();
    heartbeat(claimed, incarnation);
    return true;
  }

  private void stepDown() {
    if (role == MemberRole.PRIMARY) {
      role = MemberRole.REPLICA;
      primary = Optional.empty();
      lastHeardNanos = simulator.now();
    }
    List<Runnable> waiting = onStepDown.values().stream().flatMap(List::stream).toList();
    onStepDown.clear();
    onCommit.clear();
    waiting.forEach(Runnable::run);
  }

  // Replication.

  private void heartbeat(long ofTerm, int ofIncarnation) {
    simulator.onNode(
        name,
        HEARTBEAT_NANOS,
        () -> {
          if (role == MemberRole.PRIMARY && term == ofTerm && incarnation == ofIncarnation) {
            replicate();
            heartbeat(ofTerm, ofIncarnation);
          }
        });
  }

  private void replicate() {
    group.values().stream().filter(member -> member != this).forEach(this::replicateTo);
  }

  private void replicateTo(ModelMember replica) {
    int from = Math.min(matched.getOrDefault(replica.name, log.size()), log.size());
    LogPosition previous = positionOf(from);
    List<Entry> entries = List.copyOf(log.subList(from, log.size()));
    long ofTerm = term;
    int commit = committed;
    simulator.sendRepeatable(
        name,
        replica.name,
        () -> {
          Appended reply = replica.onAppend(ofTerm, name, previous, entries, commit);
          simulator.sendRepeatable(replica.name, name, () -> onAppended(replica, ofTerm, reply));
        });
  }

  private Appended onAppend(
      long ofTerm, String from, LogPosition previous, List<Entry> entries, int commit) {
    boolean lower = ofTerm < promisedTerm || ofTerm < term;
    if (lower && defect != Defect.ACCEPT_LOWER_TERM) {
      return new Appended(false, -1);
    }
    if (!lower) {
      if (ofTerm > term) {
        stepDown();
      }
      term = ofTerm;
      if (ofTerm > promisedTerm) {
        promisedTerm = ofTerm;
        promisedCandidate = "";
        history.add(new History.Promised(name, ofTerm));
      }
      primary = Optional.of(new MemberId(from));
      lastHeardNanos = simulator.now();
    }
    int start = (int) previous.index();
    if (start > log.size() || !positionOf(start).equals(previous)) {
      return new Appended(false, Math.max(0, Math.min(start - 1, log.size())));
    }
    for (Entry entry : entries) {
      store(entry);
    }
    int held = start + entries.size();
    if (Math.min(commit, held) > committed) {
      committed = Math.min(commit, held);
      applyLater();
    }
    history.add(new History.Stored(name, ofTerm, held));
    return new Appended(true, held);
  }

  private void store(Entry entry) {
    int index = (int) entry.position().index();
    if (index <= log.size() && log.get(index - 1).equals(entry)) {
      return;
    }
    while (log.size() >= index) {
      Entry replaced = log.remove(log.size() - 1);
      if (log.size() < applied) {
        history.add(new History.AppliedEntryLost(name, replaced));
        applied = log.size();
      }
    }
    committed = Math.min(committed, log.size());
    log.add(entry);
  }

  private void applyLater() {
    int upTo = committed;
    int ofIncarnation = incarnation;
    simulator.onNode(
        name,
        applyLagNanos,
        () -> {
          if (incarnation == ofIncarnation) {
            applied = Math.max(applied, Math.min(upTo, committed));
          }
        });
  }

  private void onAppended(ModelMember replica, long ofTerm, Appended reply) {
    if (role != MemberRole.PRIMARY || term != ofTerm) {
      return;
    }
    if (reply.index() < 0) {
      return;
    }
    if (!reply.accepted()) {
      matched.put(replica.name, (int) reply.index());
      replicateTo(replica);
      return;
    }
    acknowledgedNanos.put(replica.name, simulator.now());
    matched.merge(replica.name, (int) reply.index(), Math::max);
    commitTo((int) reply.index());
  }

  private void commitTo(int index) {
    if (index <= committed || index > log.size() || role != MemberRole.PRIMARY) {
      return;
    }
    boolean ownTerm = positionOf(index).term() == term;
    if (!ownTerm && defect != Defect.NO_ENTRY_AT_START_OF_TERM) {
      return;
    }
    int first = committed + 1;
    committed = index;
    applied = index;
    for (int i = first; i <= index; i++) {
      if (!log.get(i - 1).request().isEmpty()) {
        history.add(new History.Acknowledged(name, term, log.get(i - 1)));
      }
      onStepDown.remove(i);
      List<Runnable> waiting = onCommit.remove(i);
      if (waiting != null) {
        waiting.forEach(Runnable::run);
      }
    }
  }

  // Statements.

  /** Runs a write, or abandons its request, and replies once that is durable. */
  void write(String request, String call, boolean hasId, boolean abandon, Consumer<Reply> reply) {
    if (role != MemberRole.PRIMARY || !isOpen()) {
      reply.accept(new Reply.Rejected());
      return;
    }
    Optional<Entry> found =
        hasId && defect != Defect.DROP_REQUEST_ID
            ? log.stream().filter(entry -> entry.request().equals(request)).findFirst()
            : Optional.empty();
    Optional<RecordedRequest> row = found.map(ModelMember::rowOf);
    int index = found.map(entry -> (int) entry.position().index()).orElse(0);
    if (found.isEmpty()) {
      index = append(request, call, abandon);
    }
    Runnable served = () -> reply.accept(new Reply.Served(positionOf(applied), row));
    if (index <= committed) {
      served.run();
      return;
    }
    onCommit.computeIfAbsent(index, i -> new ArrayList<>()).add(served);
    onStepDown
        .computeIfAbsent(index, i -> new ArrayList<>())
        .add(() -> reply.accept(new Reply.NotConfirmed()));
    replicate();
    if (defect == Defect.ACKNOWLEDGE_WITHOUT_REPLICA) {
      commitTo(index);
    }
  }

  private static RecordedRequest rowOf(Entry entry) {
    return entry.abandoned()
        ? RecordedRequest.abandoned(ModelProxy.fingerprint(entry.request()))
        : RecordedRequest.completed(ModelProxy.fingerprint(entry.request()), new byte[0]);
  }

  private int append(String request, String call, boolean abandon) {
    int index = log.size() + 1;
    log.add(new Entry(new LogPosition(term, index), request, call, abandon));
    return index;
  }

  ReadReply read() {
    Set<String> seen =
        log.subList(0, applied).stream()
            .filter(Entry::isWrite)
            .map(Entry::request)
            .collect(Collectors.toUnmodifiableSet());
    return new ReadReply(positionOf(applied), seen);
  }

  /** Restarts the process: the log and the promise stay, all else is learned again. */
  void restart() {
    stepDown();
    incarnation++;
    role = MemberRole.REPLICA;
    primary = Optional.empty();
    committed = 0;
    applied = 0;
    lastHeardNanos = simulator.now();
  }

  void setApplyLag(long nanos) {
    applyLagNanos = nanos;
  }

  void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  boolean isOpenPrimary() {
    return role == MemberRole.PRIMARY && isOpen() && hasMajority();
  }

  long term() {
    return term;
  }

  List<Entry> committedLog() {
    return List.copyOf(log.subList(0, committed));
  }

  /** Returns whether an entry of the present term is held by a majority. */
  private boolean isOpen() {
    return defect == Defect.NO_ENTRY_AT_START_OF_TERM || positionOf(committed).term() == term;
  }

  private boolean hasMajority() {
    return acknowledgedNanos.values().stream()
        .anyMatch(time -> simulator.now() - time <= MAJORITY_WINDOW_NANOS);
  }

  private LogPosition positionOf(int index) {
    return index == 0 ? LogPosition.START : log.get(index - 1).position();
  }
}
