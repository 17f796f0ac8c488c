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

/**
 * Model of a group member: keeps a replicated log of writes and answers fencing, promotion, writes
 * and reads by the rules of the replication design.
 */
final class ModelMember {

  private static final long HEARTBEAT_INTERVAL_NANOS = 100 * Simulator.MILLIS;
  private static final long MAJORITY_WINDOW_NANOS = 600 * Simulator.MILLIS;

  /** The reply to a write. */
  sealed interface WriteReply {

    record Served(LogPosition position, Optional<RecordedRequest> recorded) implements WriteReply {}

    record Rejected() implements WriteReply {}

    record NotConfirmed() implements WriteReply {}
  }

  /** The reply to a read: the applied position, and the requests whose writes were seen. */
  record ReadReply(LogPosition applied, Set<String> seen) {}

  private record AppendReply(boolean accepted, long index) {}

  final String name;
  private final Simulator simulator;
  private final History history;
  private final Defect defect;
  private final Map<String, ModelMember> group;

  // Durable state.
  private final List<Entry> log = new ArrayList<>();
  private long term;
  private long promisedTerm;
  private String promisedCandidate = "";

  // State that is lost at a restart.
  private MemberRole role = MemberRole.REPLICA;
  private int incarnation;
  private Optional<MemberId> primary = Optional.empty();
  private int committedIndex;
  private int appliedIndex;
  private long lastPrimaryContactNanos;
  private final Map<String, Integer> matchIndexes = new HashMap<>();
  private final Map<String, Long> lastAcknowledgedNanos = new HashMap<>();
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

  // Control requests.

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
        positionOf(appliedIndex),
        isPrimary ? Duration.ZERO : Duration.ofNanos(simulator.now() - lastPrimaryContactNanos),
        isPrimary && hasCommittedInOwnTerm() && hasMajority(),
        leaving,
        primary);
  }

  boolean fence(long claimedTerm, String candidate) {
    boolean repeated = claimedTerm == promisedTerm && candidate.equals(promisedCandidate);
    if (repeated) {
      return true;
    }
    if (claimedTerm <= promisedTerm || claimedTerm <= term) {
      return false;
    }
    promisedTerm = claimedTerm;
    promisedCandidate = candidate;
    history.add(new History.Promised(name, claimedTerm));
    stepDown();
    return true;
  }

  boolean promote(long claimedTerm, String candidate) {
    if (claimedTerm != promisedTerm || !candidate.equals(promisedCandidate)) {
      return false;
    }
    if (role == MemberRole.PRIMARY && term == claimedTerm) {
      return true;
    }
    if (term == claimedTerm) {
      // A primary that restarted must not resume its term: it does not know what it has lost.
      return false;
    }
    history.add(new History.Promoted(name, claimedTerm, List.copyOf(log)));
    term = claimedTerm;
    role = MemberRole.PRIMARY;
    primary = Optional.of(new MemberId(name));
    matchIndexes.clear();
    lastAcknowledgedNanos.clear();
    if (defect != Defect.NO_ENTRY_AT_START_OF_TERM) {
      append("", "", false);
    }
    replicate();
    heartbeat(claimedTerm, incarnation);
    return true;
  }

  private void stepDown() {
    if (role == MemberRole.PRIMARY) {
      role = MemberRole.REPLICA;
      primary = Optional.empty();
      lastPrimaryContactNanos = simulator.now();
    }
    List<Runnable> callbacks = onStepDown.values().stream().flatMap(List::stream).toList();
    onStepDown.clear();
    onCommit.clear();
    callbacks.forEach(Runnable::run);
  }

  // Replication.

  private void heartbeat(long startTerm, int startIncarnation) {
    simulator.onNode(
        name,
        HEARTBEAT_INTERVAL_NANOS,
        () -> {
          if (role == MemberRole.PRIMARY && term == startTerm && incarnation == startIncarnation) {
            replicate();
            heartbeat(startTerm, startIncarnation);
          }
        });
  }

  private void replicate() {
    group.values().stream().filter(member -> member != this).forEach(this::replicateTo);
  }

  private void replicateTo(ModelMember replica) {
    int from = Math.min(matchIndexes.getOrDefault(replica.name, log.size()), log.size());
    LogPosition previous = positionOf(from);
    List<Entry> entries = List.copyOf(log.subList(from, log.size()));
    long sentTerm = term;
    int sentCommittedIndex = committedIndex;
    simulator.sendWithDuplicates(
        name,
        replica.name,
        () -> {
          AppendReply reply =
              replica.onAppend(sentTerm, name, previous, entries, sentCommittedIndex);
          simulator.sendWithDuplicates(
              replica.name, name, () -> onAppendReply(replica, sentTerm, reply));
        });
  }

  private AppendReply onAppend(
      long primaryTerm,
      String sender,
      LogPosition previous,
      List<Entry> entries,
      int primaryCommittedIndex) {
    boolean stale = primaryTerm < promisedTerm || primaryTerm < term;
    if (stale && defect != Defect.ACCEPT_LOWER_TERM) {
      return new AppendReply(false, -1);
    }
    if (!stale) {
      if (primaryTerm > term) {
        stepDown();
      }
      term = primaryTerm;
      if (primaryTerm > promisedTerm) {
        promisedTerm = primaryTerm;
        promisedCandidate = "";
        history.add(new History.Promised(name, primaryTerm));
      }
      primary = Optional.of(new MemberId(sender));
      lastPrimaryContactNanos = simulator.now();
    }
    int start = (int) previous.index();
    if (start > log.size() || !positionOf(start).equals(previous)) {
      return new AppendReply(false, Math.max(0, Math.min(start - 1, log.size())));
    }
    for (Entry entry : entries) {
      store(entry);
    }
    int lastIndex = start + entries.size();
    if (Math.min(primaryCommittedIndex, lastIndex) > committedIndex) {
      committedIndex = Math.min(primaryCommittedIndex, lastIndex);
      applyLater();
    }
    history.add(new History.Stored(name, primaryTerm, lastIndex));
    return new AppendReply(true, lastIndex);
  }

  private void store(Entry entry) {
    int index = (int) entry.position().index();
    if (index <= log.size() && log.get(index - 1).equals(entry)) {
      return;
    }
    while (log.size() >= index) {
      Entry replaced = log.remove(log.size() - 1);
      if (log.size() < appliedIndex) {
        history.add(new History.AppliedEntryLost(name, replaced));
        appliedIndex = log.size();
      }
    }
    committedIndex = Math.min(committedIndex, log.size());
    log.add(entry);
  }

  private void applyLater() {
    int index = committedIndex;
    int scheduledIncarnation = incarnation;
    simulator.onNode(
        name,
        applyLagNanos,
        () -> {
          if (incarnation == scheduledIncarnation) {
            appliedIndex = Math.max(appliedIndex, Math.min(index, committedIndex));
          }
        });
  }

  private void onAppendReply(ModelMember replica, long sentTerm, AppendReply reply) {
    if (role != MemberRole.PRIMARY || term != sentTerm) {
      return;
    }
    if (reply.index() < 0) {
      return;
    }
    if (!reply.accepted()) {
      matchIndexes.put(replica.name, (int) reply.index());
      replicateTo(replica);
      return;
    }
    lastAcknowledgedNanos.put(replica.name, simulator.now());
    matchIndexes.merge(replica.name, (int) reply.index(), Math::max);
    commitTo((int) reply.index());
  }

  private void commitTo(int index) {
    if (index <= committedIndex || index > log.size() || role != MemberRole.PRIMARY) {
      return;
    }
    boolean inOwnTerm = positionOf(index).term() == term;
    if (!inOwnTerm && defect != Defect.NO_ENTRY_AT_START_OF_TERM) {
      return;
    }
    int first = committedIndex + 1;
    committedIndex = index;
    appliedIndex = index;
    for (int i = first; i <= index; i++) {
      if (!log.get(i - 1).request().isEmpty()) {
        history.add(new History.Acknowledged(name, term, log.get(i - 1)));
      }
      onStepDown.remove(i);
      List<Runnable> callbacks = onCommit.remove(i);
      if (callbacks != null) {
        callbacks.forEach(Runnable::run);
      }
    }
  }

  // Reads and writes.

  /** Runs a write, or marks its request as abandoned, and replies once the entry is committed. */
  void write(
      String request, String call, boolean hasId, boolean abandon, Consumer<WriteReply> reply) {
    if (role != MemberRole.PRIMARY || !hasCommittedInOwnTerm()) {
      reply.accept(new WriteReply.Rejected());
      return;
    }
    Optional<Entry> existing =
        hasId && defect != Defect.DROP_REQUEST_ID
            ? log.stream().filter(entry -> entry.request().equals(request)).findFirst()
            : Optional.empty();
    Optional<RecordedRequest> recorded = existing.map(ModelMember::toRecordedRequest);
    int index = existing.map(entry -> (int) entry.position().index()).orElse(0);
    if (existing.isEmpty()) {
      index = append(request, call, abandon);
    }
    Runnable replyServed =
        () -> reply.accept(new WriteReply.Served(positionOf(appliedIndex), recorded));
    if (index <= committedIndex) {
      replyServed.run();
      return;
    }
    onCommit.computeIfAbsent(index, i -> new ArrayList<>()).add(replyServed);
    onStepDown
        .computeIfAbsent(index, i -> new ArrayList<>())
        .add(() -> reply.accept(new WriteReply.NotConfirmed()));
    replicate();
    if (defect == Defect.ACKNOWLEDGE_WITHOUT_REPLICA) {
      commitTo(index);
    }
  }

  private static RecordedRequest toRecordedRequest(Entry entry) {
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
        log.subList(0, appliedIndex).stream()
            .filter(Entry::isWrite)
            .map(Entry::request)
            .collect(Collectors.toUnmodifiableSet());
    return new ReadReply(positionOf(appliedIndex), seen);
  }

  /** Restarts the process: it keeps its log, term and promise and starts as a replica. */
  void restart() {
    stepDown();
    incarnation++;
    role = MemberRole.REPLICA;
    primary = Optional.empty();
    committedIndex = 0;
    appliedIndex = 0;
    lastPrimaryContactNanos = simulator.now();
  }

  void setApplyLag(long nanos) {
    applyLagNanos = nanos;
  }

  void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  boolean isActivePrimary() {
    return role == MemberRole.PRIMARY && hasCommittedInOwnTerm() && hasMajority();
  }

  long term() {
    return term;
  }

  List<Entry> committedLog() {
    return List.copyOf(log.subList(0, committedIndex));
  }

  /** Returns whether a majority has stored an entry of the current term. */
  private boolean hasCommittedInOwnTerm() {
    return defect == Defect.NO_ENTRY_AT_START_OF_TERM || positionOf(committedIndex).term() == term;
  }

  private boolean hasMajority() {
    return lastAcknowledgedNanos.values().stream()
        .anyMatch(time -> simulator.now() - time <= MAJORITY_WINDOW_NANOS);
  }

  private LogPosition positionOf(int index) {
    return index == 0 ? LogPosition.START : log.get(index - 1).position();
  }
}
