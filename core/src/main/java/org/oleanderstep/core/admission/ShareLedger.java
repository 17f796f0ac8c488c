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
import org.oleanderstep.core.admission.Account.Waiter;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.membership.PeerState;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Token buckets of one process for all organisations, within the slots of its VM.
 *
 * <pre>{@code
 * if (!ledger.tryAcquire(organisation, clock.nanoTime())) {
 *   // on the control thread:
 *   actions = ledger.await(requestId, organisation, deadline, clock.nanoTime());
 * }
 * }</pre>
 *
 * <p>{@link #tryAcquire} may be called by all threads and allocates nothing; everything else
 * belongs to the control thread. All times are nanoseconds of a {@link
 * org.oleanderstep.core.MonotonicClock}.
 */
public final class ShareLedger {

  // A pull that takes longer is taken for lost when deciding whether to ask again; its answer still
  // counts until the reply timeout.
  private static final long PULL_LOST_NANOS = 20_000_000;
  // A silent peer is left out for this time. Requests that wait for its answer lose half of their
  // time, so it must not be asked for each of them.
  private static final long AVOID_SILENT_NANOS = 250_000_000;
  private static final long CONFIRMATION_INTERVAL_NANOS = 200_000_000;
  private static final double LEAST_PULL = 0.01;
  private static final double NANOS_PER_SECOND = 1e9;

  private final VmId self;
  private final long maxWaitNanos;
  private final long replyTimeoutNanos;
  private final long pauseLimitNanos;
  private final SlotHoldings holdings;
  private final Grants grants;
  private final Map<Long, Pull> pulls = new HashMap<>();
  private final Map<Long, OrganisationId> organisationOfWaiter = new HashMap<>();
  // Replaced as a whole, so that traffic threads read a consistent map without a lock.
  private volatile Map<OrganisationId, Account> accounts = Map.of();
  private volatile boolean confirmed;
  private volatile long lastTickAt;
  private boolean ticked;
  private long generation;
  private long generationInForce;
  private long nextTransferId = 1;
  private long nextConfirmationId = 1;
  private long confirmationAskedAt;
  private boolean confirmationAsked;

  private record Pull(VmId peer, OrganisationId organisation, double amount, long sentAt) {}

  /** Creates the ledger of a process that has just started; all buckets are empty. */
  public ShareLedger(VmId self, AdmissionSettings settings) {
    this.self = self;
    maxWaitNanos = settings.maxWait().toNanos();
    replyTimeoutNanos = settings.replyTimeout().toNanos();
    pauseLimitNanos = settings.pauseLimit().toNanos();
    holdings = new SlotHoldings(self, settings.holdTime().toNanos());
    grants = new Grants(settings.holdTime().toNanos());
  }

  /**
   * Consumes a token if one is available locally. Call it as the last step before the statement is
   * sent.
   */
  public boolean tryAcquire(OrganisationId organisation, long now) {
    if (!isOpen(now)) {
      return false;
    }
    Account account = accounts.get(organisation);
    return account != null && account.tryTake(now);
  }

  // Traffic threads may run before the control thread notices a pause, so they check it too.
  private boolean isOpen(long now) {
    return confirmed && now - lastTickAt <= pauseLimitNanos;
  }

  /**
   * Lets a request wait for a token that is not available locally.
   *
   * @param requestId chosen by the caller; names the request in {@link AdmissionAction.Admit} and
   *     {@link AdmissionAction.Refuse}
   * @param deadline time after which the request must not run
   */
  public List<AdmissionAction> await(
      long requestId, OrganisationId organisation, long deadline, long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    Account account = accounts.get(organisation);
    if (account == null || !canBeServed(account)) {
      actions.add(new AdmissionAction.Refuse(requestId, refusal(now, deadline)));
      return actions;
    }
    long patience = now + maxWaitNanos;
    long expiresAt = deadline - patience < 0 ? deadline : patience;
    account.waiters().add(new Waiter(requestId, expiresAt, deadline));
    organisationOfWaiter.put(requestId, organisation);
    serve(account, 0, now, actions);
    return actions;
  }

  // All VMs together have at most this many tokens before the wait ends.
  private boolean canBeServed(Account account) {
    Organisation organisation = account.organisation();
    double accrued = organisation.ratePerSecond() * maxWaitNanos / NANOS_PER_SECOND;
    return account.waiters().size() < organisation.burst() + accrued;
  }

  private NotRunReason refusal(long now, long deadline) {
    if (now - deadline >= 0) {
      return NotRunReason.DEADLINE;
    }
    return isOpen(now) ? NotRunReason.OVER_RATE : NotRunReason.NOT_READY;
  }

  /** Stops the wait of a request whose caller is gone. */
  public void cancel(long requestId) {
    OrganisationId organisation = organisationOfWaiter.remove(requestId);
    Account account = organisation == null ? null : accounts.get(organisation);
    if (account != null) {
      account.waiters().removeIf(waiter -> waiter.requestId() == requestId);
      account.updateWaiting();
    }
  }

  /** Does what is due; call it at least every 5 ms while requests wait, else every 100 ms. */
  public List<AdmissionAction> onTick(long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    if (!ticked || now - lastTickAt > pauseLimitNanos) {
      confirmed = false;
      confirmationAsked = false;
    }
    ticked = true;
    lastTickAt = now;
    askForConfirmation(now, actions);
    dropUnanswered(now);
    endHolds(now);
    for (Account account : accounts.values()) {
      updateShare(account, now);
      serve(account, 0, now, actions);
    }
    return actions;
  }

  private void askForConfirmation(long now, List<AdmissionAction> actions) {
    if (confirmed
        || (confirmationAsked && now - confirmationAskedAt < CONFIRMATION_INTERVAL_NANOS)) {
      return;
    }
    confirmationAsked = true;
    confirmationAskedAt = now;
    actions.add(new AdmissionAction.ConfirmShares(nextConfirmationId++));
  }

  private void dropUnanswered(long now) {
    for (Pull pull : pulls.values()) {
      Account account = accounts.get(pull.organisation());
      if (account != null && account.estimates().isLost(pull.peer(), PULL_LOST_NANOS, now)) {
        account.estimates().noteSilent(pull.peer(), now);
      }
    }
    pulls.values().removeIf(pull -> now - pull.sentAt() > replyTimeoutNanos);
  }

  private void endHolds(long now) {
    grants.expire(now).forEach(grant -> endHold(grant, now));
  }

  private void endHold(Grants.Grant grant, long now) {
    Account account = accounts.get(grant.organisation());
    if (account != null) {
      account.endHold(grant.reply().amount(), now);
    }
  }

  /** Deducts tokens for a peer and returns what it gets; the same request gets the same answer. */
  public TransferReply onTransferRequest(TransferRequest request, long now) {
    Grants.Id id = new Grants.Id(request.receiverInstance(), request.transferId());
    Optional<TransferReply> earlier = grants.earlierReply(id);
    if (earlier.isPresent()) {
      return earlier.get();
    }
    Account account = accounts.get(request.organisation());
    if (account == null || !isOpen(now)) {
      return TransferReply.NOTHING;
    }
    double amount = grantable(account, request.amount(), now);
    if (amount <= 0 || !account.giveAway(amount, now)) {
      return new TransferReply(0, account.bucket().tokens(now));
    }
    TransferReply reply = new TransferReply(amount, account.bucket().tokens(now));
    grants.add(id, new Grants.Grant(request.organisation(), reply, now));
    return reply;
  }

  private double grantable(Account account, double asked, long now) {
    double unused = account.bucket().tokens(now) - account.waiters().size();
    double amount = Math.min(asked, unused);
    // A receiver without a share has no bucket to keep a part of a token in.
    return isSplit(account.organisation()) ? amount : Math.floor(amount);
  }

  private boolean isSplit(Organisation organisation) {
    return holdings.table().orElseThrow().isSplit(organisation.burst());
  }

  /** Takes over tokens of a peer if the answer arrived in time. */
  public List<AdmissionAction> onTransferReply(long transferId, TransferReply reply, long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    Pull pull = pulls.remove(transferId);
    Account account = pull == null ? null : accounts.get(pull.organisation());
    if (account == null || now - pull.sentAt() > replyTimeoutNanos) {
      return actions;
    }
    account.estimates().noteAnswered(pull.peer(), reply.remaining(), now);
    double credit = isOpen(now) ? reply.amount() : 0;
    serve(account, credit, now, actions);
    if (reply.amount() > 0) {
      actions.add(new AdmissionAction.ConfirmTransfer(pull.peer(), transferId));
    }
    return actions;
  }

  /** Notes that a peer did not answer. */
  public List<AdmissionAction> onTransferFailed(long transferId, long now) {
    List<AdmissionAction> actions = new ArrayList<>();
    Pull pull = pulls.remove(transferId);
    Account account = pull == null ? null : accounts.get(pull.organisation());
    if (account != null) {
      account.estimates().noteSilent(pull.peer(), now);
      serve(account, 0, now, actions);
    }
    return actions;
  }

  /** Ends the hold of a transfer that the receiver confirmed. */
  public void onTransferConfirm(String receiverInstance, long transferId, long now) {
    grants
        .confirm(new Grants.Id(receiverInstance, transferId))
        .ifPresent(grant -> endHold(grant, now));
  }

  /** Adopts a share table if its version is higher than that of the one in force. */
  public void onShares(ShareTable table, long now) {
    if (table.version() <= holdings.version()) {
      return;
    }
    boolean first = holdings.table().isEmpty();
    holdings.adopt(table, now);
    for (Account account : accounts.values()) {
      // Places of generations that this process held before it had a table were not noted.
      if (first && generation > 1) {
        account.addBothPlaces();
      } else if (first) {
        account.addPlace(isSplit(account.organisation()));
      }
      updateShare(account, now);
    }
  }

  /**
   * Takes the answer to {@link AdmissionAction.ConfirmShares}; admission starts if it is the answer
   * to the last one and not older than the table in force.
   */
  public void onSharesConfirmed(long confirmationId, ShareTable table, long now) {
    onShares(table, now);
    if (confirmationId == nextConfirmationId - 1
        && table.version() >= holdings.version()
        && now - lastTickAt <= pauseLimitNanos) {
      confirmed = true;
    }
  }

  /** Stops using a slot before it is handed over; call it before the new table is published. */
  public void release(int slot, long now) {
    holdings.release(slot);
    accounts.values().forEach(account -> updateShare(account, now));
  }

  /** Adopts the rates and bursts of a generation that is higher than the one in force. */
  public void onOrganisations(
      long newGeneration, Collection<Organisation> organisations, long now) {
    if (newGeneration <= generation) {
      return;
    }
    boolean skipped = newGeneration != generation + 1;
    generation = newGeneration;
    Map<OrganisationId, Account> next = new HashMap<>(accounts);
    Set<OrganisationId> declared = new HashSet<>();
    for (Organisation organisation : organisations) {
      declared.add(organisation.id());
      Account account =
          next.computeIfAbsent(organisation.id(), id -> open(organisation, skipped, now));
      adopt(account, organisation, now);
    }
    // The accounts of removed organisations stay, since peers may still hold tokens from them.
    for (Account account : next.values()) {
      if (!declared.contains(account.organisation().id())) {
        adopt(account, removed(account.organisation()), now);
      }
    }
    accounts = next;
  }

  // If generations were skipped, as at the start of a process, another process may hold one in
  // which
  // the organisation had another place.
  private static Account open(Organisation organisation, boolean skipped, long now) {
    Account account = new Account(organisation, now);
    if (skipped) {
      account.addBothPlaces();
    }
    return account;
  }

  private static Organisation removed(Organisation organisation) {
    return new Organisation(organisation.name(), 0, organisation.burst());
  }

  private void adopt(Account account, Organisation organisation, long now) {
    account.setOrganisation(organisation);
    if (holdings.table().isPresent()) {
      account.addPlace(isSplit(organisation));
    }
    account.resize(usableShare(account, now), now);
  }

  /**
   * Notes that all holders of slots report exactly this generation, so that an organisation whose
   * burst became too small to split, or large enough, gets its new place.
   */
  public void onGenerationInForce(long inForce, long now) {
    if (inForce != generation || inForce == generationInForce || holdings.table().isEmpty()) {
      return;
    }
    generationInForce = inForce;
    for (Account account : accounts.values()) {
      account.settlePlace(isSplit(account.organisation()));
      updateShare(account, now);
    }
  }

  private void updateShare(Account account, long now) {
    double share = usableShare(account, now);
    if (share != account.share()) {
      account.resize(share, now);
    }
  }

  private double usableShare(Account account, long now) {
    if (holdings.table().isEmpty()) {
      return 0;
    }
    double split = account.maybeSplit() ? holdings.splitShare(now) : 1;
    double whole = account.maybeWhole() ? holdings.wholeShare(account.organisation().id(), now) : 1;
    return Math.min(split, whole);
  }

  /** Takes over what peers said of their tokens. */
  public void onPeers(Collection<PeerState> peers, long now) {
    for (PeerState peer : peers) {
      long at = now - peer.age().toNanos();
      peer.tokens().forEach((organisation, tokens) -> note(peer.vm(), organisation, tokens, at));
    }
  }

  private void note(VmId peer, OrganisationId organisation, double tokens, long at) {
    Account account = accounts.get(organisation);
    if (account != null) {
      account.estimates().note(peer, tokens, at);
    }
  }

  /** Stops admission until the share table is confirmed; called after a pause of the process. */
  public List<AdmissionAction> onPause(long now) {
    confirmed = false;
    confirmationAsked = false;
    List<AdmissionAction> actions = new ArrayList<>();
    askForConfirmation(now, actions);
    return actions;
  }

  /** Returns the tokens held by organisation, for the gossip. */
  public Map<OrganisationId, Double> tokens(long now) {
    Map<OrganisationId, Double> tokens = new HashMap<>();
    accounts.forEach((id, account) -> tokens.put(id, account.bucket().tokens(now)));
    return tokens;
  }

  /** Returns the version of the table in force, zero for none. */
  public long sharesVersion() {
    return holdings.version();
  }

  /** Returns the table in force. */
  public Optional<ShareTable> shares() {
    return holdings.table();
  }

  // Hands tokens to waiting requests, first those that a peer gave, and asks peers for the rest.
  private void serve(Account account, double credit, long now, List<AdmissionAction> actions) {
    refuseExpired(account, now, actions);
    double left = isOpen(now) ? admitWaiting(account, credit, now, actions) : 0;
    if (left > 0) {
      account.bucket().add(left, now);
    }
    account.updateWaiting();
    if (isOpen(now) && !account.waiters().isEmpty()) {
      pull(account, now, actions);
    }
  }

  private void refuseExpired(Account account, long now, List<AdmissionAction> actions) {
    for (Iterator<Waiter> waiters = account.waiters().iterator(); waiters.hasNext(); ) {
      Waiter waiter = waiters.next();
      if (now - waiter.expiresAt() >= 0) {
        waiters.remove();
        organisationOfWaiter.remove(waiter.requestId());
        actions.add(
            new AdmissionAction.Refuse(waiter.requestId(), refusal(now, waiter.deadline())));
      }
    }
  }

  private double admitWaiting(
      Account account, double credit, long now, List<AdmissionAction> actions) {
    double left = credit;
    while (!account.waiters().isEmpty()) {
      double missing = Math.max(0, 1 - left);
      if (missing > 0 && !account.bucket().tryTake(missing, now)) {
        break;
      }
      left = Math.max(0, left - 1);
      Waiter waiter = account.waiters().remove();
      organisationOfWaiter.remove(waiter.requestId());
      actions.add(new AdmissionAction.Admit(waiter.requestId()));
    }
    return left;
  }

  private void pull(Account account, long now, List<AdmissionAction> actions) {
    OrganisationId organisation = account.organisation().id();
    double tokens = account.bucket().tokens(now);
    double missing = account.waiters().size() - tokens - underway(organisation, now);
    if (missing < LEAST_PULL || holdings.table().isEmpty()) {
      return;
    }
    // Half the cap on top, so that the next requests are admitted without a pull.
    double wanted = missing + Math.max(0, account.cap() / 2 - tokens);
    for (Offer offer : offers(account, holdings.table().get(), now)) {
      if (wanted < LEAST_PULL || offer.tokens() < Math.min(1, missing)) {
        break;
      }
      double amount = Math.min(wanted, offer.tokens());
      long transferId = nextTransferId++;
      pulls.put(transferId, new Pull(offer.peer(), organisation, amount, now));
      account.estimates().noteAsked(offer.peer(), now);
      actions.add(new AdmissionAction.PullTokens(offer.peer(), organisation, amount, transferId));
      wanted -= amount;
      missing -= amount;
    }
  }

  private double underway(OrganisationId organisation, long now) {
    return pulls.values().stream()
        .filter(pull -> pull.organisation().equals(organisation))
        .filter(pull -> now - pull.sentAt() < PULL_LOST_NANOS)
        .mapToDouble(Pull::amount)
        .sum();
  }

  /** Tokens that a peer probably has. */
  private record Offer(VmId peer, double tokens) {}

  private List<Offer> offers(Account account, ShareTable table, long now) {
    Organisation organisation = account.organisation();
    boolean split = table.isSplit(organisation.burst());
    PeerEstimates estimates = account.estimates();
    List<Offer> offers = new ArrayList<>();
    for (VmId peer : table.holders()) {
      if (peer.equals(self)
          || estimates.isAsked(peer, PULL_LOST_NANOS, now)
          || estimates.isAvoided(peer, AVOID_SILENT_NANOS, now)) {
        continue;
      }
      double share = holdings.shareOf(peer, organisation.id(), split);
      double rate = share * organisation.ratePerSecond();
      double cap = share * organisation.burst();
      offers.add(new Offer(peer, estimates.estimate(peer, rate, cap, now)));
    }
    offers.sort(Comparator.comparingDouble(Offer::tokens).reversed());
    return offers;
  }
}
