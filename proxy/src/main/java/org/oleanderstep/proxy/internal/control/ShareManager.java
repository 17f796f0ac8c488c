package org.oleanderstep.proxy.internal.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.admission.AdmissionAction;
import org.oleanderstep.core.admission.AdmissionController;
import org.oleanderstep.core.admission.ShareTable;
import org.oleanderstep.core.admission.ShareTablePlanner;
import org.oleanderstep.core.admission.TransferReply;
import org.oleanderstep.core.admission.TransferRequest;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.membership.PeerIdentity;
import org.oleanderstep.core.membership.PeerState;
import org.oleanderstep.core.membership.PeerTable;
import org.oleanderstep.core.membership.VmList;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.proxy.internal.convert.ShareTableConverter;
import org.oleanderstep.proxy.internal.platform.ConditionalPublisher;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.PlatformObject;
import org.oleanderstep.proxy.internal.rpc.PeerCalls;
import org.oleanderstep.proxy.internal.traffic.Admission;
import org.oleanderstep.schema.v1.ConfirmTransferRequest;
import org.oleanderstep.schema.v1.TransferTokensReply;
import org.oleanderstep.schema.v1.TransferTokensRequest;

/**
 * Executes the actions of the admission controller and publishes share tables.
 *
 * <p>{@link #tryAcquire} is thread-safe. All other methods may be called only from the control
 * thread.
 */
final class ShareManager {

  static final String OBJECT = "shares/current";

  private static final Logger logger = LogManager.getLogger(ShareManager.class);
  private static final Admission ADMITTED = new Admission.Admitted();

  /** Number of peers that are asked at the same time to confirm the share table. */
  private static final int MAX_CONFIRMING_PEERS = 2;

  /** The table stored at the platform, with the version of its object. */
  private record Stored(long objectVersion, ShareTable table) {}

  private final AdmissionController controller;
  private final PeerIdentity self;
  private final PeerTable peers;
  private final ControlLoop loop;
  private final PeerCalls calls;
  private final PlatformClient platform;
  private final PlatformEvidence evidence;
  private final ConditionalPublisher publisher;
  private final Map<Long, CompletableFuture<Admission>> waiting = new HashMap<>();
  private long nextRequestId;
  private long lastConfirmationId;
  private boolean platformRequestInFlight;
  private boolean publishing;

  ShareManager(
      AdmissionController controller,
      PeerTable peers,
      ControlLoop loop,
      PeerCalls calls,
      PlatformClient platform,
      PlatformEvidence evidence) {
    this.controller = controller;
    this.self = peers.self();
    this.peers = peers;
    this.loop = loop;
    this.calls = calls;
    this.platform = platform;
    this.evidence = evidence;
    this.publisher = new ConditionalPublisher(platform);
  }

  // Admission.

  boolean tryAcquire(OrganisationId organisation, long now) {
    return controller.tryAcquire(organisation, now);
  }

  static Admission admitted() {
    return ADMITTED;
  }

  /** Queues a request until a token is available or its deadline has passed. */
  void enqueue(
      OrganisationId organisation, long deadlineNanos, CompletableFuture<Admission> result) {
    long id = nextRequestId++;
    waiting.put(id, result);
    execute(controller.enqueue(id, organisation, deadlineNanos, loop.nanoTime()));
  }

  boolean hasQueuedRequests() {
    return !waiting.isEmpty();
  }

  void tick() {
    execute(controller.onTick(loop.nanoTime()));
  }

  Map<OrganisationId, Double> tokens() {
    return controller.tokens(loop.nanoTime());
  }

  long version() {
    return controller.sharesVersion();
  }

  Optional<ShareTable> table() {
    return controller.shares();
  }

  /** Returns the table in force as a message; the empty message if there is none. */
  org.oleanderstep.schema.v1.ShareTable message() {
    return controller
        .shares()
        .map(ShareTableConverter::toProto)
        .orElse(org.oleanderstep.schema.v1.ShareTable.getDefaultInstance());
  }

  void onPeers(Collection<PeerState> live) {
    controller.onPeers(live, loop.nanoTime());
  }

  void onConfiguration(Configuration configuration) {
    controller.onOrganisations(
        configuration.generation(), configuration.declarations().organisations(), loop.nanoTime());
  }

  /** Tells the admission controller when all slot holders report this generation. */
  void checkGenerationConverged(long generation) {
    Optional<ShareTable> table = controller.shares();
    if (generation > 0
        && table.isPresent()
        && peers.allReportGeneration(table.get().holders(), generation)) {
      controller.onGenerationConverged(generation, loop.nanoTime());
    }
  }

  private void execute(List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Admit admit) {
        complete(admit.requestId(), ADMITTED);
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        complete(
            refuse.requestId(),
            new Admission.Refused(refuse.reason(), refuse.reason().description()));
      } else if (action instanceof AdmissionAction.PullTokens pull) {
        pullTokens(pull);
      } else if (action instanceof AdmissionAction.ConfirmTransfer confirm) {
        confirmTransfer(confirm);
      } else if (action instanceof AdmissionAction.ConfirmShares confirm) {
        confirmShares(confirm.confirmationId());
      }
    }
  }

  private void complete(long requestId, Admission admission) {
    CompletableFuture<Admission> result = waiting.remove(requestId);
    if (result != null) {
      result.complete(admission);
    }
  }

  // Transfer of tokens.

  private void pullTokens(AdmissionAction.PullTokens pull) {
    Optional<String> address = addressOf(pull.peer());
    if (address.isEmpty()) {
      execute(controller.onTransferFailed(pull.transferId(), loop.nanoTime()));
      return;
    }
    TransferTokensRequest request =
        TransferTokensRequest.newBuilder()
            .setOrganisation(pull.organisation().name())
            .setTokens(pull.amount())
            .setReceiverVm(self.vm().name())
            .setReceiverInstance(self.instance())
            .setTransferId(pull.transferId())
            .build();
    loop.onCompletion(
        calls.transferTokens(address.get(), request),
        (reply, failure) -> {
          long now = loop.nanoTime();
          execute(
              failure == null
                  ? controller.onTransferReply(
                      pull.transferId(),
                      new TransferReply(reply.getTokens(), reply.getRemaining()),
                      now)
                  : controller.onTransferFailed(pull.transferId(), now));
        });
  }

  private void confirmTransfer(AdmissionAction.ConfirmTransfer confirm) {
    ConfirmTransferRequest request =
        ConfirmTransferRequest.newBuilder()
            .setReceiverInstance(self.instance())
            .setTransferId(confirm.transferId())
            .build();
    // If the confirmation is lost, the donor counts the transfer against its cap for the hold time.
    addressOf(confirm.peer())
        .ifPresent(
            address ->
                loop.onCompletion(calls.confirmTransfer(address, request), (reply, failure) -> {}));
  }

  /** Transfers tokens to a peer that requests them. */
  TransferTokensReply onTransferRequest(TransferTokensRequest request) {
    TransferReply reply =
        controller.onTransferRequest(
            new TransferRequest(
                new VmId(request.getReceiverVm()),
                request.getReceiverInstance(),
                request.getTransferId(),
                new OrganisationId(request.getOrganisation()),
                request.getTokens()),
            loop.nanoTime());
    return TransferTokensReply.newBuilder()
        .setTokens(reply.amount())
        .setRemaining(reply.remaining())
        .build();
  }

  /** Handles a peer's confirmation that transferred tokens arrived. */
  void onTransferConfirm(ConfirmTransferRequest request) {
    controller.onTransferConfirmed(
        request.getReceiverInstance(), request.getTransferId(), loop.nanoTime());
  }

  private Optional<String> addressOf(VmId vm) {
    return peers.peers(loop.nanoTime()).stream()
        .filter(peer -> peer.vm().equals(vm))
        .map(PeerState::peerAddress)
        .findFirst();
  }

  // Share tables.

  /** Adopts a table that a peer or the platform reported. */
  void onTable(org.oleanderstep.schema.v1.ShareTable message) {
    if (message.getVersion() > 0) {
      adopt(ShareTableConverter.toCore(message));
    }
  }

  private void adopt(ShareTable table) {
    if (table.version() > controller.sharesVersion()) {
      logger.info(
          "share table {} is in force: {} of {} slots here, {} VMs",
          table.version(),
          table.slotsOf(self.vm()),
          table.slots().size(),
          table.holders().size());
    }
    controller.onShares(table, loop.nanoTime());
  }

  private void confirmShares(long confirmationId) {
    lastConfirmationId = confirmationId;
    peers.livePeers(loop.nanoTime()).stream()
        .limit(MAX_CONFIRMING_PEERS)
        .forEach(
            peer ->
                loop.onCompletion(
                    calls.getShares(peer.peerAddress()),
                    (reply, failure) -> {
                      if (failure == null && reply.getVersion() > 0) {
                        confirm(confirmationId, ShareTableConverter.toCore(reply));
                      }
                    }));
    confirmWithPlatform(confirmationId);
  }

  /**
   * Allows one call at a time, so that a slow platform does not receive a call for each repeated
   * confirmation.
   */
  private void confirmWithPlatform(long confirmationId) {
    if (platformRequestInFlight) {
      return;
    }
    platformRequestInFlight = true;
    long requestedAt = loop.nanoTime();
    loop.onCompletion(
        platform.get(OBJECT),
        (object, failure) -> {
          platformRequestInFlight = false;
          if (failure != null || object.isEmpty() || !evidence.showsNewestShares()) {
            return;
          }
          ShareTable table = parse(object.get()).table();
          // If the process was not paused in between, the response to the first call also answers
          // confirmations that were requested later.
          boolean paused = lastPauseAt - requestedAt > 0;
          confirm(paused ? confirmationId : lastConfirmationId, table);
        });
  }

  private long lastPauseAt;

  /** Records a pause of the process; responses to earlier calls no longer confirm the table. */
  void onPause() {
    lastPauseAt = loop.nanoTime();
    execute(controller.onPause(lastPauseAt));
  }

  private void confirm(long confirmationId, ShareTable table) {
    adopt(table);
    controller.onSharesConfirmed(confirmationId, table, loop.nanoTime());
  }

  /**
   * Publishes the first table, or the next one if VMs that hold slots were terminated. Only elected
   * watchers call it.
   */
  void publishTableIfDue(VmList list) {
    Optional<ShareTable> current = controller.shares();
    boolean due =
        current.isEmpty() || ShareTablePlanner.next(current.get(), list, newId()).isPresent();
    if (publishing || list.live().isEmpty() || !due) {
      return;
    }
    publish(
        stored ->
            stored.isEmpty()
                ? Optional.of(ShareTablePlanner.first(list, newId()))
                : ShareTablePlanner.next(stored.get(), list, newId()),
        current.isEmpty()
            ? "first table"
            : "slots of VMs that the platform does not list any more");
  }

  /** Transfers one slot of this VM to a VM that holds fewer. */
  void handOverSlot(VmList list) {
    Optional<ShareTable> current = controller.shares();
    if (publishing || current.isEmpty()) {
      return;
    }
    Optional<VmId> receiver = ShareTablePlanner.receiverOfSurplus(current.get(), list, self.vm());
    int slot = lastSlotOf(current.get());
    if (receiver.isEmpty() || slot < 0) {
      return;
    }
    controller.releaseSlot(slot, loop.nanoTime());
    publish(
        stored ->
            stored
                .filter(table -> table.version() == current.get().version())
                .map(
                    table ->
                        ShareTablePlanner.handOver(table, list, slot, receiver.get(), newId())),
        "a slot handed to " + receiver.get());
  }

  private int lastSlotOf(ShareTable table) {
    for (int i = table.slots().size() - 1; i >= 0; i--) {
      if (table.slots().get(i).holder().equals(self.vm())) {
        return i;
      }
    }
    return -1;
  }

  private void publish(Function<Optional<ShareTable>, Optional<ShareTable>> plan, String reason) {
    publishing = true;
    loop.onCompletion(
        platform.get(OBJECT),
        (object, failure) -> {
          if (failure != null) {
            publishing = false;
            return;
          }
          Optional<Stored> stored = object.map(ShareManager::parse);
          stored.ifPresent(s -> adopt(s.table()));
          if (isOlderThanInForce(stored)) {
            // The watch of the object writes the table in force back first.
            publishing = false;
            return;
          }
          Optional<ShareTable> next = plan.apply(stored.map(Stored::table));
          if (next.isEmpty()) {
            publishing = false;
            return;
          }
          update(stored, next.get(), reason);
        });
  }

  private boolean isOlderThanInForce(Optional<Stored> stored) {
    return stored.map(s -> s.table().version()).orElse(0L) < controller.sharesVersion();
  }

  private void update(Optional<Stored> stored, ShareTable next, String reason) {
    OptionalLong base =
        stored.isPresent() ? OptionalLong.of(stored.get().objectVersion()) : OptionalLong.empty();
    ByteString value = ShareTableConverter.toProto(next).toByteString();
    loop.onCompletion(
        publisher.publish(OBJECT, base, value, found -> isPublication(found, next)),
        (version, failure) -> {
          publishing = false;
          if (failure == null) {
            logger.info("shares moved with table {}: {}", next.version(), reason);
            adopt(next);
          } else {
            logger.info("share table {} was not published: {}", next.version(), message(failure));
          }
        });
  }

  private static String message(Throwable failure) {
    return failure.getMessage() == null ? failure.toString() : failure.getMessage();
  }

  private static boolean isPublication(ByteString found, ShareTable published) {
    try {
      return org.oleanderstep.schema.v1.ShareTable.parseFrom(found)
          .getPublicationId()
          .equals(published.publicationId());
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  private static Stored parse(PlatformObject object) {
    try {
      return new Stored(
          object.version(),
          ShareTableConverter.toCore(
              org.oleanderstep.schema.v1.ShareTable.parseFrom(object.value())));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("object " + OBJECT + " is not a share table", e);
    }
  }

  private static String newId() {
    return UUID.randomUUID().toString();
  }
}
