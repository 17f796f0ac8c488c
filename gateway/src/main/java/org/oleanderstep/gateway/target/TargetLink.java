package org.oleanderstep.gateway.target;

/** An open connection to a member; implemented by the adapter of a database protocol. */
public interface TargetLink {

  /**
   * Sends a command. Its reply is passed to {@link TargetConnector.Listener#replied}; which reply
   * belongs to which command is for the listener to find out.
   */
  void send(TargetCommand command);

  /** Flushes the sent commands to the network. */
  void flush();

  /** Closes the connection; the member rolls back. No further replies are delivered. */
  void close();
}
