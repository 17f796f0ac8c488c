package org.oleanderstep.standins.member.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.util.Durations;
import java.sql.SQLException;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.schema.v1.AppendReply;
import org.oleanderstep.schema.v1.AppendRequest;
import org.oleanderstep.schema.v1.LogEntry;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.Position;
import org.oleanderstep.schema.v1.Role;

/**
 * Role, term, promise and log of a member, with Raft's log matching and commit rules. Terms come
 * from outside through {@link #fence} and {@link #promote}; the member never starts an election.
 *
 * <p>All state is guarded by one lock. Three kinds of threads meet here: callers that propose
 * transactions, one {@link Replicator} for each other member, and the {@link Applier}, which alone
 * changes the database of a replica and ends the transactions of a primary, in the order of the
 * log.
 */
final class ReplicationState {

  private static final Logger logger = LogManager.getLogger(ReplicationState.class);

  /** Promised to the initial primary by each member of an empty group. */
  private static final long FIRST_TERM = 1;

  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
  private static final Duration MAJORITY_WINDOW = Duration.ofMillis(500);
  private static final Duration WRITES_REFUSED_AFTER = Duration.ofSeconds(1);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(50);
  private static final int MAX_ENTRIES_PER_APPEND = 256;
  private static final int MAX_BYTES_PER_APPEND = 1 << 20;

  /** What the applier has to do next. */
  sealed interface Step {}

  /** Replace the database by an empty one. */
  record Rebuild(long epoch) implements Step {}

  /**
   * Apply a committed entry.
   *
   * @param ticket the local transaction to commit instead of applying the entry, or null
   * @param enablesWrites whether the entry starts the term of this member as primary
   */
  record Apply(LogEntry entry, CommitTicket ticket, boolean enablesWrites, long epoch)
      implements Step {}

  private final String self;
  private final ReplicatedLog log;
  private final PromiseFile promiseFile;
  private final LongSupplier nanoClock;
  private final Runnable closeSqlConnections;
  private final int majority;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition replicationWork = lock.newCondition();
  private final Condition applierWork = lock.newCondition();

  private final Map<String, PeerProgress> peers = new LinkedHashMap<>();
  private final Map<Long, CommitTicket> tickets = new HashMap<>();
  private final Map<Long, Long> receivedNanos = new HashMap<>();
  private final Set<String> cutMembers = new HashSet<>();

  private Promise promise;
  private Role role = Role.REPLICA;
  private long term;
  private String primary = "";
  private long heardNanos;
  private long committedIndex;
  private long appliedIndex;

  /**
   * Statements are served once this index is applied. On a primary it is the last entry of the log
   * when its database was replaced or its term began, so that foreign keys are switched on only
   * after all entries that replicas apply without them.
   */
  private long serveIndex;

  private boolean rebuildNeeded = true;
  private String incarnation = "";

  /** Counts the databases of this process; sessions of an older epoch are refused. */
  private long epoch;

  private Duration applyLag;
  private boolean applyStopped;
  private boolean leaving;
  private boolean closed;

  ReplicationState(
      String self,
      List<String> peerNames,
      String initialPrimary,
      Duration applyLag,
      ReplicatedLog log,
      PromiseFile promiseFile,
      LongSupplier nanoClock,
      Runnable closeSqlConnections) {
    this.self = self;
    this.log = log;
    this.promiseFile = promiseFile;
    this.nanoClock = nanoClock;
    this.closeSqlConnections = closeSqlConnections;
    this.applyLag = applyLag;
    for (String name : peerNames) {
      peers.put(name, new PeerProgress(name));
    }
    this.majority = (peerNames.size() + 1) / 2 + 1;
    this.heardNanos = nanoClock.getAsLong();
    this.committedIndex = log.loadCommitted();
    this.serveIndex = committedIndex;
    lock.lock();
    try {
      loadPromise(initialPrimary);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Loads the promise. On the first start of the group it is term 1 to the initial primary, which
   * no candidate may claim; the initial primary takes its role at once.
   */
  private void loadPromise(String initialPrimary) {
    var stored = promiseFile.load();
    if (stored.isPresent()) {
      promise = stored.get();
      term = log.lastPosition().getTerm();
      return;
    }
    promise = new Promise(FIRST_TERM, "initial primary " + initialPrimary);
    promiseFile.save(promise);
    if (self.equals(initialPrimary)) {
      becomePrimary(FIRST_TERM);
    }
  }

  // Terms

  /** Promises a term to a candidate, unless a higher one or another candidate was promised. */
  boolean fence(long newTerm, String candidate) {
    lock.lock();
    try {
      if (promise.isExactly(newTerm, candidate)) {
        return true;
      }
      if (newTerm <= promise.term() || candidate.isEmpty()) {
        return false;
      }
      promiseTo(new Promise(newTerm, candidate));
      logger.info("promised term {} to {}", newTerm, candidate);
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Makes this member primary if the term is promised to exactly this candidate. */
  boolean promote(long newTerm, String candidate) {
    lock.lock();
    try {
      if (!promise.isExactly(newTerm, candidate)) {
        return false;
      }
      if (term == newTerm) {
        return role == Role.PRIMARY;
      }
      becomePrimary(newTerm);
      logger.info("promoted to primary of term {} by {}", newTerm, candidate);
      return true;
    } finally {
      lock.unlock();
    }
  }

  private void promiseTo(Promise next) {
    promiseFile.save(next);
    promise = next;
    leavePrimary();
    primary = "";
  }

  private void becomePrimary(long newTerm) {
    role = Role.PRIMARY;
    term = newTerm;
    primary = self;
    long longAgo = nanoClock.getAsLong() - WRITES_REFUSED_AFTER.toNanos();
    for (PeerProgress peer : peers.values()) {
      peer.reset(log.lastIndex() + 1, longAgo);
    }
    log.append(newTerm, EntryCodec.encode(new EntryCodec.NoOperation()));
    serveIndex = log.lastIndex();
    advanceCommitted();
    replicationWork.signalAll();
    applierWork.signalAll();
  }

  /**
   * Ends the role of primary: commits in flight get no answer, all SQL connections are closed, and
   * the database is rebuilt, since it may hold definitions that the new primary never saw.
   */
  private void leavePrimary() {
    if (role != Role.PRIMARY) {
      return;
    }
    role = Role.REPLICA;
    primary = "";
    heardNanos = nanoClock.getAsLong();
    logger.info("no longer primary of term {}; promised term is {}", term, promise.term());
    startRebuild();
  }

  private void startRebuild() {
    rebuildNeeded = true;
    epoch++;
    serveIndex = role == Role.PRIMARY ? log.lastIndex() : committedIndex;
    tickets.values().forEach(ticket -> ticket.complete(false));
    tickets.clear();
    closeSqlConnections.run();
    applierWork.signalAll();
    replicationWork.signalAll();
  }

  // Statements

  /** Returns the epoch that a new session belongs to. */
  long openSession() throws SQLException {
    lock.lock();
    try {
      checkServing();
      return epoch;
    } finally {
      lock.unlock();
    }
  }

  /** Refuses a statement if this member cannot run it now. */
  void checkStatement(long sessionEpoch, boolean writes) throws SQLException {
    lock.lock();
    try {
      checkSession(sessionEpoch);
      if (writes) {
        checkWritable();
      }
    } finally {
      lock.unlock();
    }
  }

  private void checkSession(long sessionEpoch) throws SQLException {
    if (sessionEpoch != epoch) {
      throw SqlStates.notServing("its data was rebuilt after the connection was opened");
    }
    checkServing();
  }

  private void checkServing() throws SQLException {
    if (!serving()) {
      throw SqlStates.notServing("it is applying its log");
    }
  }

  private boolean serving() {
    return !closed && !rebuildNeeded && appliedIndex >= serveIndex;
  }

  private void checkWritable() throws SQLException {
    if (role != Role.PRIMARY) {
      throw SqlStates.readOnly("this member is a replica");
    }
    if (!heardMajorityWithin(WRITES_REFUSED_AFTER)) {
      throw SqlStates.notServing("the primary has no majority");
    }
  }

  private boolean heardMajorityWithin(Duration window) {
    long now = nanoClock.getAsLong();
    long heard =
        peers.values().stream()
            .filter(peer -> now - peer.lastAcknowledgedNanos() < window.toNanos())
            .count();
    return heard + 1 >= majority;
  }

  /**
   * Adds a transaction to the log and sends it to the replicas. The local commit runs on the
   * applier's thread once a majority holds the entry.
   *
   * @throws SQLException if this member may not write now; nothing was logged then
   */
  CommitTicket propose(long sessionEpoch, ByteString payload, CommitTicket.LocalCommit localCommit)
      throws SQLException {
    lock.lock();
    try {
      checkSession(sessionEpoch);
      checkWritable();
      return append(payload, localCommit);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Adds a definition that the local database already executed. Without a majority it waits like
   * any other entry, since it can't be taken back.
   *
   * @throws SQLException if this member stopped being primary; its database is rebuilt then
   */
  CommitTicket proposeExecuted(long sessionEpoch, ByteString payload) throws SQLException {
    lock.lock();
    try {
      checkSession(sessionEpoch);
      if (role != Role.PRIMARY) {
        throw SqlStates.readOnly("this member is a replica");
      }
      return append(payload, () -> {});
    } finally {
      lock.unlock();
    }
  }

  private CommitTicket append(ByteString payload, CommitTicket.LocalCommit localCommit) {
    LogEntry entry = log.append(term, payload);
    CommitTicket ticket = new CommitTicket(localCommit);
    tickets.put(entry.getPosition().getIndex(), ticket);
    advanceCommitted();
    replicationWork.signalAll();
    return ticket;
  }

  // Replication, primary side

  /** Waits until there is something to send to a replica; returns null when the member stops. */
  AppendRequest awaitAppend(String peerName) throws InterruptedException {
    lock.lock();
    try {
      PeerProgress peer = peers.get(peerName);
      while (!closed) {
        long wait = nanosUntilAppend(peer);
        if (wait <= 0) {
          peer.sent(nanoClock.getAsLong());
          return nextAppend(peer);
        }
        replicationWork.awaitNanos(wait);
      }
      return null;
    } finally {
      lock.unlock();
    }
  }

  private long nanosUntilAppend(PeerProgress peer) {
    if (role != Role.PRIMARY || cutMembers.contains(peer.name())) {
      return HEARTBEAT_INTERVAL.toNanos();
    }
    long idle = nanoClock.getAsLong() - peer.lastSentNanos();
    if (peer.failing()) {
      return RETRY_INTERVAL.toNanos() - idle;
    }
    if (peer.nextIndex() <= log.lastIndex() || peer.toldCommitted() < committedIndex) {
      return 0;
    }
    return HEARTBEAT_INTERVAL.toNanos() - idle;
  }

  private AppendRequest nextAppend(PeerProgress peer) {
    long previous = peer.nextIndex() - 1;
    AppendRequest.Builder request =
        AppendRequest.newBuilder()
            .setTerm(term)
            .setPrimary(self)
            .setPrevious(log.position(previous))
            .setCommittedIndex(committedIndex);
    int bytes = 0;
    for (long index = previous + 1;
        index <= log.lastIndex()
            && request.getEntriesCount() < MAX_ENTRIES_PER_APPEND
            && bytes < MAX_BYTES_PER_APPEND;
        index++) {
      LogEntry entry = log.get(index);
      bytes += entry.getPayload().size();
      request.addEntries(entry);
    }
    return request.build();
  }

  /** Records the answer of a replica; an answer of an earlier term or a cut member is ignored. */
  void appended(String peerName, AppendRequest request, AppendReply reply, long sentNanos) {
    lock.lock();
    try {
      if (cutMembers.contains(peerName)) {
        return;
      }
      if (reply.getPromisedTerm() > promise.term()) {
        promiseTo(new Promise(reply.getPromisedTerm(), ""));
        return;
      }
      if (role != Role.PRIMARY || request.getTerm() != term) {
        return;
      }
      PeerProgress peer = peers.get(peerName);
      if (!reply.getAccepted()) {
        peer.mismatched(reply.getReceived().getIndex());
        return;
      }
      long held = request.getPrevious().getIndex() + request.getEntriesCount();
      peer.acknowledged(held, request.getCommittedIndex(), sentNanos);
      advanceCommitted();
    } finally {
      lock.unlock();
    }
  }

  /** Records that a replica could not be reached. */
  void appendFailed(String peerName) {
    lock.lock();
    try {
      peers.get(peerName).failed();
    } finally {
      lock.unlock();
    }
  }

  /** Raises the committed index to the last entry of this term that a majority holds. */
  private void advanceCommitted() {
    long[] held = new long[peers.size() + 1];
    int i = 0;
    for (PeerProgress peer : peers.values()) {
      held[i++] = peer.matchedIndex();
    }
    held[i] = log.lastIndex();
    Arrays.sort(held);
    long index = held[held.length - majority];
    if (index > committedIndex && log.termAt(index) == term) {
      setCommitted(index);
      replicationWork.signalAll();
    }
  }

  private void setCommitted(long index) {
    committedIndex = index;
    log.saveCommitted(index);
    applierWork.signalAll();
  }

  // Replication, replica side

  /** Returns whether traffic of a member is dropped. */
  boolean isCut(String member) {
    lock.lock();
    try {
      return cutMembers.contains(member);
    } finally {
      lock.unlock();
    }
  }

  /** Takes entries or a heartbeat from the primary. */
  AppendReply append(AppendRequest request) {
    lock.lock();
    try {
      boolean accepted = request.getTerm() >= promise.term() && follow(request);
      return AppendReply.newBuilder()
          .setAccepted(accepted)
          .setPromisedTerm(promise.term())
          .setReceived(log.lastPosition())
          .build();
    } finally {
      lock.unlock();
    }
  }

  private boolean follow(AppendRequest request) {
    if (request.getTerm() > promise.term()) {
      promiseTo(new Promise(request.getTerm(), ""));
    }
    if (role == Role.PRIMARY) {
      logger.error("{} claims to be primary of this member's term {}", request.getPrimary(), term);
      return false;
    }
    term = request.getTerm();
    primary = request.getPrimary();
    heardNanos = nanoClock.getAsLong();
    Position previous = request.getPrevious();
    if (previous.getIndex() > log.lastIndex()) {
      return false;
    }
    if (!log.position(previous.getIndex()).equals(previous)) {
      truncateAfter(previous.getIndex() - 1);
      return false;
    }
    for (LogEntry entry : request.getEntriesList()) {
      take(entry);
    }
    long held = previous.getIndex() + request.getEntriesCount();
    long committed = Math.min(request.getCommittedIndex(), held);
    if (committed > committedIndex) {
      setCommitted(committed);
    }
    return true;
  }

  private void take(LogEntry entry) {
    long index = entry.getPosition().getIndex();
    if (index <= log.lastIndex()) {
      if (log.termAt(index) == entry.getPosition().getTerm()) {
        return;
      }
      truncateAfter(index - 1);
    }
    log.append(entry);
    receivedNanos.put(index, nanoClock.getAsLong());
  }

  private void truncateAfter(long index) {
    if (index < committedIndex) {
      throw new IllegalStateException(
          "the primary of term "
              + term
              + " lacks committed entries after index "
              + index
              + "; committed index is "
              + committedIndex);
    }
    logger.info("dropping entries {} to {}", index + 1, log.lastIndex());
    log.truncateAfter(index);
    receivedNanos.keySet().removeIf(received -> received > index);
  }

  // Applying

  /** Waits for the next step of the applier; returns null when the member stops. */
  Step awaitStep() throws InterruptedException {
    lock.lock();
    try {
      while (!closed) {
        if (rebuildNeeded) {
          return new Rebuild(epoch);
        }
        long wait = nanosUntilApply();
        if (wait <= 0) {
          return nextApply();
        }
        applierWork.awaitNanos(wait);
      }
      return null;
    } finally {
      lock.unlock();
    }
  }

  /** Lag holds back only a replica, and only entries that it received while it was serving. */
  private long nanosUntilApply() {
    if (appliedIndex >= committedIndex) {
      return TimeUnit.SECONDS.toNanos(1);
    }
    if (role == Role.PRIMARY || appliedIndex < serveIndex) {
      return 0;
    }
    if (applyStopped) {
      return TimeUnit.SECONDS.toNanos(1);
    }
    Long received = receivedNanos.get(appliedIndex + 1);
    if (received == null) {
      return 0;
    }
    return received + applyLag.toNanos() - nanoClock.getAsLong();
  }

  private Apply nextApply() {
    long index = appliedIndex + 1;
    boolean enablesWrites = role == Role.PRIMARY && index == serveIndex;
    return new Apply(log.get(index), tickets.remove(index), enablesWrites, epoch);
  }

  /** Records that a step is done. */
  void rebuilt(Rebuild step, String newIncarnation) {
    lock.lock();
    try {
      incarnation = newIncarnation;
      appliedIndex = 0;
      receivedNanos.clear();
      rebuildNeeded = step.epoch() != epoch;
    } finally {
      lock.unlock();
    }
  }

  /** Records that an entry is applied and lets its commit be answered if this is still right. */
  void applied(Apply step) {
    lock.lock();
    try {
      boolean current = step.epoch() == epoch;
      if (current) {
        appliedIndex = step.entry().getPosition().getIndex();
        receivedNanos.remove(appliedIndex);
      }
      if (step.ticket() != null) {
        step.ticket().complete(current && role == Role.PRIMARY);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Discards the database after an entry could not be applied. */
  void applyFailed(Apply step) {
    lock.lock();
    try {
      if (step.ticket() != null) {
        step.ticket().complete(false);
      }
      if (step.epoch() == epoch) {
        startRebuild();
      }
    } finally {
      lock.unlock();
    }
  }

  // Status and control

  /** Returns the value of the header {@code Group-Position}. */
  String groupPosition() {
    lock.lock();
    try {
      return incarnation + ";" + log.termAt(appliedIndex) + ":" + appliedIndex;
    } finally {
      lock.unlock();
    }
  }

  MemberStatus status() {
    lock.lock();
    try {
      boolean isPrimary = role == Role.PRIMARY;
      long silence = isPrimary ? 0 : nanoClock.getAsLong() - heardNanos;
      return MemberStatus.newBuilder()
          .setMember(self)
          .setIncarnation(incarnation)
          .setRole(serving() ? role : Role.JOINING)
          .setTerm(term)
          .setPromisedTerm(promise.term())
          .setPromisedCandidate(promise.candidate())
          .setReceived(log.lastPosition())
          .setApplied(log.position(appliedIndex))
          .setPrimarySilence(Durations.fromNanos(silence))
          .setHasMajority(isPrimary && heardMajorityWithin(MAJORITY_WINDOW))
          .setLeaving(leaving)
          .setPrimary(primary)
          .build();
    } finally {
      lock.unlock();
    }
  }

  void setApplyLag(Duration lag) {
    lock.lock();
    try {
      applyLag = lag;
      applierWork.signalAll();
    } finally {
      lock.unlock();
    }
  }

  void setApplyStopped(boolean stopped) {
    lock.lock();
    try {
      applyStopped = stopped;
      applierWork.signalAll();
    } finally {
      lock.unlock();
    }
  }

  void setLeaving(boolean value) {
    lock.lock();
    try {
      leaving = value;
    } finally {
      lock.unlock();
    }
  }

  void setCutMembers(List<String> members) {
    lock.lock();
    try {
      cutMembers.clear();
      cutMembers.addAll(members);
      replicationWork.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Ends all waits; commits in flight get no answer. */
  void close() {
    lock.lock();
    try {
      closed = true;
      tickets.values().forEach(ticket -> ticket.complete(false));
      tickets.clear();
      replicationWork.signalAll();
      applierWork.signalAll();
    } finally {
      lock.unlock();
    }
  }
}
