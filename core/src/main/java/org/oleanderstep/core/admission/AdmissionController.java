package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.admission.OrganisationState.Waiter;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.membership.PeerState;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Admits requests within the rates of their organisations, by token buckets sized by the slots that
 * this VM holds.
 *
 * <pre>{@code
 * if (!controller.tryAcquire(organisation, clock.nanoTime())) {
 *   // on the control thread:
 *   actions = controller.enqueue(requestId, organisation, deadline, clock.nanoTime());
 * }
 * }</pre>
 *
 * <p>{@link #tryAcquire} is thread-safe and allocates no memory; call everything else only from the
 * control thread. All times are nanoseconds of a {@link org.oleanderstep.core.MonotonicClock}.
 */
public final class AdmissionController {

  // A pull of this age is no longer expected to be answered when deciding whether to pull again.
  // Its
  // reply is still accepted until the reply timeout.
  private static final long PULL_OVERDUE_NANOS = 20_000_000;
  // Time for which a peer that did not answer is not asked again. A request that waits for its
  // reply in vain loses half of its waiting time, so not every request may try it.
  private static final long TIMEOUT_BACKOFF_NANOS = 250_000_000;
  private static final long CONFIRMATION_INTERVAL_NANOS = 200_000_000;
  private static final double MIN_PULL_TOKENS = 0.01;
  private static final double NANOS_PER_SECOND = 1e9;

  private final VmId self;
  private final long maxWaitNanos;
  private final long replyTimeoutNanos;
  private final long pauseLimitNanos;
  private final HeldSlots heldSlots;
  private final OutgoingTransfers outgoingTransfers;
  private final Map<Long, Pull> pulls = new HashMap<>();
  private final Map<Long, OrganisationId> organisationByWaiter = new HashMap<>();
  // Replaced as a unsplit, so that the traffic threads read a consistent map without a lock.
  private volatile Map<OrganisationId, OrganisationState> states = Map.of();
  private volatile boolean confirmed;
  private volatile long lastTickAt;
  private boolean hasTicked;
  private long generation;
  private long convergedGeneration;
  private long nextTransferId = 1;
  private long nextConfirmationId = 1;
  private long confirmationRequestedAt;
  private boolean confirmationRequested;

  private record Pull(VmId peer, OrganisationId organisation, double amount, long sentAt) {}

  /** Creates the controller of a process that has just started; all buckets are empty. */
  public AdmissionController(VmId self, AdmissionSettings settings) {
    this.self = self;
    maxWaitNanos = settings.maxWait().toNanos();
    replyTimeoutNanos = settings.replyTimeout().toNanos();
    pauseLimitNanos = settings.pauseLimit().toNanos();
    heldSlots = new HeldSlots(self, settings.holdTime().toNanos());
    outgoingTransfers = new OutgoingTransfers(settings.holdTime().toNanos());
  }

  /**
   * Consumes a token if one is available locally. Call it as the last step before sending the
   * statement.
   */
  public boolean tryAcquire(OrganisationId organisation, long now) {
    if (!isAdmitting(now)) {
      return false;
    }
    OrganisationState state = states.get(organisation);
    return state != null && state.tryTake(now);
  }

  // After a pause, traffic threads may run before the control thread notices it, so they check too.
  private boolean isAdmitting(long now) {
    return confirmed && now - lastTickAt <= pauseLimitNanos;
  }

  /**
   * Enqueues a request for which no token is available locally.
   *
   * @param requestId chosen by the caller; identifies the request in {@link AdmissionAction.Admit}
   *     and {@link AdmissionAction.Refuse}
   * @param deadline time after which the request must not run
   */
  public List<AdmissionAction> enqueue(
      long requestId, OrganisationId organisation, long deadline, long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    OrganisationState state = states.get(organisation);
    if (state == null || !canAdmitInTime(state)) {
      actions.add(new AdmissionAction.Refuse(requestId, refusalReason(now, deadline)));
      return actions;
    }
    long waitLimit = now + maxWaitNanos;
    long expiresAt = deadline - waitLimit < 0 ? deadline : waitLimit;
    state.waiters().add(new Waiter(requestId, expiresAt, deadline));
    organisationByWaiter.put(requestId, organisation);
    serveWaiters(state, 0, now, actions);
    return actions;
  }

  // A later request can't be admitted in time: all VMs together have no more tokens than the burst
  // and those that accrue during the maximum wait.
  private boolean canAdmitInTime(OrganisationState state) {
    Organisation organisation = state.organisation();
    double accrued = organisation.ratePerSecond() * maxWaitNanos / NANOS_PER_SECOND;
    return state.waiters().size() < organisation.burst() + accrued;
  }

  private NotRunReason refusalReason(long now, long deadline) {
    if (now - deadline >= 0) {
      return NotRunReason.DEADLINE;
    }
    return isAdmitting(now) ? NotRunReason.OVER_RATE : NotRunReason.NOT_READY;
  }

  /** Removes a waiting request whose caller is gone. */
  public void cancel(long requestId) {
    OrganisationId organisation = organisationByWaiter.remove(requestId);
    OrganisationState state = organisation == null ? null : states.get(organisation);
    if (state != null) {
      state.waiters().removeIf(waiter -> waiter.requestId() == requestId);
      state.updateWaiting();
    }
  }

  /**
   * Performs the actions that are due. Call it at least every 5 ms while requests are waiting, and
   * every 100 ms otherwise.
   */
  public List<AdmissionAction> onTick(long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    if (!hasTicked || now - lastTickAt > pauseLimitNanos) {
      confirmed = false;
      confirmationRequested = false;
    }
    hasTicked = true;
    lastTickAt = now;
    requestConfirmation(now, actions);
    expirePulls(now);
    endHolds(now);
    for (OrganisationState state : states.values()) {
      updateShare(state, now);
      serveWaiters(state, 0, now, actions);
    }
    return actions;
  }

  private void requestConfirmation(long now, List<AdmissionAction> actions) {
    if (confirmed
        || (confirmationRequested && now - confirmationRequestedAt < CONFIRMATION_INTERVAL_NANOS)) {
      return;
    }
    confirmationRequested = true;
    confirmationRequestedAt = now;
    actions.add(new AdmissionAction.ConfirmShares(nextConfirmationId++));
  }

  private void expirePulls(long now) {
    for (Pull pull : pulls.values()) {
      OrganisationState state = states.get(pull.organisation());
      if (state != null
          && state.estimates().isRequestOverdue(pull.peer(), PULL_OVERDUE_NANOS, now)) {
        state.estimates().recordTimeout(pull.peer(), now);
      }
    }
    pulls.values().removeIf(pull -> now - pull.sentAt() > replyTimeoutNanos);
  }

  private void endHolds(long now) {
    outgoingTransfers.expire(now).forEach(transfer -> endHold(transfer, now));
  }

  private void endHold(OutgoingTransfers.Transfer transfer, long now) {
    OrganisationState state = states.get(transfer.organisation());
    if (state != null) {
      state.endHold(transfer.reply().amount(), now);
    }
  }

  /** Deducts tokens for a peer; a repeated request gets the same reply and deducts nothing. */
  public TransferReply onTransferRequest(TransferRequest request, long now) {
    OutgoingTransfers.Id id =
        new OutgoingTransfers.Id(request.receiverInstance(), request.transferId());
    Optional<TransferReply> earlier = outgoingTransfers.earlierReply(id);
    if (earlier.isPresent()) {
      return earlier.get();
    }
    OrganisationState state = states.get(request.organisation());
    if (state == null || !isAdmitting(now)) {
      return TransferReply.NOTHING;
    }
    double amount = transferableTokens(state, request.amount(), now);
    if (amount <= 0 || !state.deductForPeer(amount, now)) {
      return new TransferReply(0, state.bucket().tokens(now));
    }
    TransferReply reply = new TransferReply(amount, state.bucket().tokens(now));
    outgoingTransfers.add(id, new OutgoingTransfers.Transfer(request.organisation(), reply, now));
    return reply;
  }

  private double transferableTokens(OrganisationState state, double requested, long now) {
    double unused = state.bucket().tokens(now) - state.waiters().size();
    double amount = Math.min(requested, unused);
    // A receiver without a share has no bucket that could keep a fraction of a token.
    return isSplit(state.organisation()) ? amount : Math.floor(amount);
  }

  private boolean isSplit(Organisation organisation) {
    return heldSlots.table().orElseThrow().isSplit(organisation.burst());
  }

  /** Accepts tokens of a peer if the reply arrived in time. */
  public List<AdmissionAction> onTransferReply(long transferId, TransferReply reply, long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    Pull pull = pulls.remove(transferId);
    OrganisationState state = pull == null ? null : states.get(pull.organisation());
    if (state == null || now - pull.sentAt() > replyTimeoutNanos) {
      return actions;
    }
    state.estimates().recordReply(pull.peer(), reply.remaining(), now);
    double credit = isAdmitting(now) ? reply.amount() : 0;
    serveWaiters(state, credit, now, actions);
    if (reply.amount() > 0) {
      actions.add(new AdmissionAction.ConfirmTransfer(pull.peer(), transferId));
    }
    return actions;
  }

  /** Records that a peer did not answer. */
  public List<AdmissionAction> onTransferFailed(long transferId, long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    Pull pull = pulls.remove(transferId);
    OrganisationState state = pull == null ? null : states.get(pull.organisation());
    if (state != null) {
      state.estimates().recordTimeout(pull.peer(), now);
      serveWaiters(state, 0, now, actions);
    }
    return actions;
  }

  /** Ends the hold of a transfer that the receiver confirmed. */
  public void onTransferConfirmed(String receiverInstance, long transferId, long now) {
    outgoingTransfers
        .confirm(new OutgoingTransfers.Id(receiverInstance, transferId))
        .ifPresent(transfer -> endHold(transfer, now));
  }

  /** Adopts a share table if its version is higher than that of the current one. */
  public void onShares(ShareTable table, long now) {
    if (table.version() <= heldSlots.version()) {
      return;
    }
    boolean first = heldSlots.table().isEmpty();
    heldSlots.adopt(table, now);
    for (OrganisationState state : states.values()) {
      // Placements of generations that were adopted before the first table are not known.
      if (first && generation > 1) {
        state.addBothPlacements();
      } else if (first) {
        state.addPlacement(isSplit(state.organisation()));
      }
      updateShare(state, now);
    }
  }

  /**
   * Accepts the answer to {@link AdmissionAction.ConfirmShares}. Admission starts if it answers the
   * latest request and its table is not older than the current one.
   */
  public void onSharesConfirmed(long confirmationId, ShareTable table, long now) {
    onShares(table, now);
    if (confirmationId == nextConfirmationId - 1
        && table.version() >= heldSlots.version()
        && now - lastTickAt <= pauseLimitNanos) {
      confirmed = true;
    }
  }

  /** Stops using a slot that is to be handed over; call it before publishing the new table. */
  public void releaseSlot(int slot, long now) {
    heldSlots.release(slot);
    states.values().forEach(state -> updateShare(state, now));
  }

  /** Adopts the rates and bursts of a configuration generation if it is higher than the current. */
  public void onOrganisations(
      long newGeneration, Collection<Organisation> organisations, long now) {
    if (newGeneration <= generation) {
      return;
    }
    boolean skipped = newGeneration != generation + 1;
    generation = newGeneration;
    Map<OrganisationId, OrganisationState> next = new HashMap<>(states);
    Set<OrganisationId> declared = new HashSet<>();
    for (Organisation organisation : organisations) {
      declared.add(organisation.id());
      OrganisationState state =
          next.computeIfAbsent(organisation.id(), id -> createState(organisation, skipped, now));
      applyOrganisation(state, organisation, now);
    }
    // The states of removed organisations stay, since peers may still hold tokens from them.
    for (OrganisationState state : next.values()) {
      if (!declared.contains(state.organisation().id())) {
        applyOrganisation(state, withZeroRate(state.organisation()), now);
      }
    }
    states = next;
  }

  // If generations were skipped, as at the start of a process, another process may still use one in
  // which the organisation has the other placement.
  private static OrganisationState createState(
      Organisation organisation, boolean skipped, long now) {
    OrganisationState state = new OrganisationState(organisation, now);
    if (skipped) {
      state.addBothPlacements();
    }
    return state;
  }

  private static Organisation withZeroRate(Organisation organisation) {
    return new Organisation(organisation.name(), 0, organisation.burst());
  }

  private void applyOrganisation(OrganisationState state, Organisation organisation, long now) {
    state.setOrganisation(organisation);
    if (heldSlots.table().isPresent()) {
      state.addPlacement(isSplit(organisation));
    }
    state.resize(usableShare(state, now), now);
  }

  /**
   * Called when all holders of slots report exactly this generation. An organisation whose burst
   * became too small to split, or large enough, then gets its new placement.
   */
  public void onGenerationConverged(long converged, long now) {
    if (converged != generation
        || converged == convergedGeneration
        || heldSlots.table().isEmpty()) {
      return;
    }
    convergedGeneration = converged;
    for (OrganisationState state : states.values()) {
      state.settlePlacement(isSplit(state.organisation()));
      updateShare(state, now);
    }
  }

  private void updateShare(OrganisationState state, long now) {
    double share = usableShare(state, now);
    if (share != state.share()) {
      state.resize(share, now);
    }
  }

  private double usableShare(OrganisationState state, long now) {
    if (heldSlots.table().isEmpty()) {
      return 0;
    }
    double split = state.splitPossible() ? heldSlots.splitShare(now) : 1;
    double unsplit =
        state.unsplitPossible() ? heldSlots.unsplitShare(state.organisation().id(), now) : 1;
    return Math.min(split, unsplit);
  }

  /** Updates the estimates with the tokens that peers reported. */
  public void onPeers(Collection<PeerState> peers, long now) {
    for (PeerState peer : peers) {
      long at = now - peer.age().toNanos();
      peer.tokens()
          .forEach((organisation, tokens) -> recordLevel(peer.vm(), organisation, tokens, at));
    }
  }

  private void recordLevel(VmId peer, OrganisationId organisation, double tokens, long at) {
    OrganisationState state = states.get(organisation);
    if (state != null) {
      state.estimates().recordLevel(peer, tokens, at);
    }
  }

  /** Stops admission until the share table is confirmed; call it after a pause of the process. */
  public List<AdmissionAction> onPause(long now) {
    confirmed = false;
    confirmationRequested = false;
    List<AdmissionAction> actions = new ArrayList<>();
    requestConfirmation(now, actions);
    return actions;
  }

  /** Returns the tokens held locally by organisation, to be gossiped to peers. */
  public Map<OrganisationId, Double> tokens(long now) {
    Map<OrganisationId, Double> tokens = new HashMap<>();
    states.forEach((id, state) -> tokens.put(id, state.bucket().tokens(now)));
    return tokens;
  }

  /** Returns the version of the current table; zero if there is none. */
  public long sharesVersion() {
    return heldSlots.version();
  }

  /** Returns the current table; empty before the first one. */
  public Optional<ShareTable> shares() {
    return heldSlots.table();
  }

  // Admits waiting requests, first by the credit of tokens from a peer, then by local tokens, and
  // pulls tokens from peers for the rest.
  private void serveWaiters(
      OrganisationState state, double credit, long now, List<AdmissionAction> actions) {
    refuseExpired(state, now, actions);
    double left = isAdmitting(now) ? admitWaiting(state, credit, now, actions) : 0;
    if (left > 0) {
      state.bucket().add(left, now);
    }
    state.updateWaiting();
    if (isAdmitting(now) && !state.waiters().isEmpty()) {
      pull(state, now, actions);
    }
  }

  private void refuseExpired(OrganisationState state, long now, List<AdmissionAction> actions) {
    for (Iterator<Waiter> waiters = state.waiters().iterator(); waiters.hasNext(); ) {
      Waiter waiter = waiters.next();
      if (now - waiter.expiresAt() >= 0) {
        waiters.remove();
        organisationByWaiter.remove(waiter.requestId());
        actions.add(
            new AdmissionAction.Refuse(waiter.requestId(), refusalReason(now, waiter.deadline())));
      }
    }
  }

  private double admitWaiting(
      OrganisationState state, double credit, long now, List<AdmissionAction> actions) {
    double left = credit;
    while (!state.waiters().isEmpty()) {
      double missing = Math.max(0, 1 - left);
      if (missing > 0 && !state.bucket().tryTake(missing, now)) {
        break;
      }
      left = Math.max(0, left - 1);
      Waiter waiter = state.waiters().remove();
      organisationByWaiter.remove(waiter.requestId());
      actions.add(new AdmissionAction.Admit(waiter.requestId()));
    }
    return left;
  }

  private void pull(OrganisationState state, long now, List<AdmissionAction> actions) {
    OrganisationId organisation = state.organisation().id();
    double tokens = state.bucket().tokens(now);
    double missing = state.waiters().size() - tokens - pendingTokens(organisation, now);
    if (missing < MIN_PULL_TOKENS || heldSlots.table().isEmpty()) {
      return;
    }
    // Fills the bucket to half its cap in addition, so that the next requests need no pull.
    double wanted = missing + Math.max(0, state.cap() / 2 - tokens);
    for (Candidate candidate : candidates(state, heldSlots.table().get(), now)) {
      if (wanted < MIN_PULL_TOKENS || candidate.tokens() < Math.min(1, missing)) {
        break;
      }
      double amount = Math.min(wanted, candidate.tokens());
      long transferId = nextTransferId++;
      pulls.put(transferId, new Pull(candidate.peer(), organisation, amount, now));
      state.estimates().recordRequest(candidate.peer(), now);
      actions.add(
          new AdmissionAction.PullTokens(candidate.peer(), organisation, amount, transferId));
      wanted -= amount;
      missing -= amount;
    }
  }

  private double pendingTokens(OrganisationId organisation, long now) {
    return pulls.values().stream()
        .filter(pull -> pull.organisation().equals(organisation))
        .filter(pull -> now - pull.sentAt() < PULL_OVERDUE_NANOS)
        .mapToDouble(Pull::amount)
        .sum();
  }

  /** A peer and its estimated number of tokens. */
  private record Candidate(VmId peer, double tokens) {}

  private List<Candidate> candidates(OrganisationState state, ShareTable table, long now) {
    Organisation organisation = state.organisation();
    boolean split = table.isSplit(organisation.burst());
    PeerTokenEstimates estimates = state.estimates();
    List<Candidate> candidates = new ArrayList<>();
    for (VmId peer : table.holders()) {
      if (peer.equals(self)
          || estimates.isRequestPending(peer, PULL_OVERDUE_NANOS, now)
          || estimates.isInBackoff(peer, TIMEOUT_BACKOFF_NANOS, now)) {
        continue;
      }
      double share = heldSlots.shareOf(peer, organisation.id(), split);
      double rate = share * organisation.ratePerSecond();
      double cap = share * organisation.burst();
      candidates.add(new Candidate(peer, estimates.estimate(peer, rate, cap, now)));
    }
    candidates.sort(Comparator.comparingDouble(Candidate::tokens).reversed());
    return candidates;
  }
}
