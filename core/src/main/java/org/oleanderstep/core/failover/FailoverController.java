package org.oleanderstep.core.failover;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;

/**
 * Decides, for one database in one proxy, when to claim a new term and which member to promote.
 *
 * <pre>{@code
 * for (FailoverAction action : controller.onStatus(status, clock.nanoTime())) {
 *   carryOut(action);
 * }
 * }</pre>
 *
 * <p>The controller belongs to the control thread. It sends nothing itself: each method returns the
 * actions that the caller has to carry out, in order. Every fence and promotion is sent under the
 * name {@link #candidate()}. All times are nanoseconds of one {@link
 * org.oleanderstep.core.MonotonicClock}.
 */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class FailoverController {

  /**
   * Creates a controller that has not heard from any member yet.
   *
   * @param instance random for each start of the process, so that a restarted proxy never shares a
   *     promise with its predecessor
   * @param members all members of the group, whether or not they are reachable
   */
  public FailoverController(
      FailoverSettings settings,
      DatabaseId database,
      VmId self,
      String instance,
      Collection<MemberId> members,
      RandomGenerator random) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the name under which fences and promotions are ordered, unique for this process. */
  public String candidate() {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Takes the answer to a status request. */
  public List<FailoverAction> onStatus(MemberStatus status, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Takes note that a status request failed or timed out. */
  public List<FailoverAction> onStatusFailure(MemberId member, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Takes the reply to {@link FailoverAction.SendFence}; a lost reply needs no call. */
  public List<FailoverAction> onFenceReply(
      MemberId member, long term, boolean accepted, MemberStatus status, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Takes the reply to {@link FailoverAction.SendPromote}; a lost reply needs no call. */
  public List<FailoverAction> onPromoteReply(
      MemberId member, long term, boolean accepted, MemberStatus status, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Lets time pass; call it about every 50 ms, also when nothing was received. */
  public List<FailoverAction> onTick(long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /**
   * Takes what a peer says about the primary.
   *
   * <p>A hint: a higher term makes the present primary unusable until a member confirms it.
   */
  public List<FailoverAction> onPeerReport(long term, MemberId primary, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /**
   * Starts a planned change of the primary.
   *
   * @param to member that should become primary, or empty for the most advanced other member
   */
  public List<FailoverAction> requestPrimaryChange(Optional<MemberId> to, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the primary of the highest term seen, empty while none is usable. */
  public Optional<PrimaryView> primary() {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the highest term seen in any status, reply or report. */
  public long highestTerm() {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns what the controller is doing. */
  public Phase phase() {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
