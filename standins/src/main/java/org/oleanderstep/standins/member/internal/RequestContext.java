package org.oleanderstep.standins.member.internal;

import io.netty.channel.Channel;

/**
 * The HTTP request that the current thread serves. Avatica's handler hides the request and turns
 * every exception into an answer, so the channel and the wish not to answer travel on the thread.
 */
final class RequestContext {

  private static final ThreadLocal<RequestContext> CURRENT = new ThreadLocal<>();

  private final Channel channel;
  private boolean unanswered;

  private RequestContext(Channel channel) {
    this.channel = channel;
  }

  static RequestContext begin(Channel channel) {
    RequestContext context = new RequestContext(channel);
    CURRENT.set(context);
    return context;
  }

  static RequestContext current() {
    return CURRENT.get();
  }

  static void end() {
    CURRENT.remove();
  }

  Channel channel() {
    return channel;
  }

  /** Makes the server close the channel instead of answering. */
  void leaveUnanswered() {
    unanswered = true;
  }

  boolean unanswered() {
    return unanswered;
  }
}
