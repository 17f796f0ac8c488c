package org.oleanderstep.gateway.target;

import java.util.function.Consumer;

/** An open connection to a member; implemented by the adapter of a database protocol. */
public interface TargetLink {

  /** Sends a command. Replies arrive in the order of the commands, on the traffic thread. */
  void send(TargetCommand command, Consumer<TargetReply> onReply);

  /** Flushes the sent commands to the network. */
  void flush();

  /** Closes the connection; the member rolls back. Pending replies are not delivered. */
  void close();
}
