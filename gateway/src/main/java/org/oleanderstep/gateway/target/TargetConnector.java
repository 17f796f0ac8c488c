package org.oleanderstep.gateway.target;

import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.session.FailureCode;

/** Opens connections to members; implemented by the adapter of a database protocol. */
@FunctionalInterface
public interface TargetConnector {

  /** Receives the events of a connection; called on the traffic thread. */
  interface Listener {

    /** The member accepted the connection. */
    void opened(TargetLink link, Optional<LogPosition> position);

    /** The connection could not be opened. The code is empty if the member did not answer. */
    void refused(Optional<FailureCode> code, String reason);

    /** A complete reply arrived on an open connection. */
    void replied(TargetReply reply);

    /** An open connection closed without a call of {@link TargetLink#close}. */
    void lost(String reason);
  }

  /**
   * Opens a connection on behalf of an organisation.
   *
   * @return a handle that cancels the attempt
   */
  Runnable connect(TargetMember member, String organisation, Listener listener);
}
