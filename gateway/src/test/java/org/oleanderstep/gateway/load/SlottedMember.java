package org.oleanderstep.gateway.load;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.FailureCode;
import org.oleanderstep.gateway.session.SessionStatus;
import org.oleanderstep.gateway.target.TargetCommand;
import org.oleanderstep.gateway.target.TargetConnector;
import org.oleanderstep.gateway.target.TargetLink;
import org.oleanderstep.gateway.target.TargetReply;

/** A member that runs a few statements at a time, queues some more and refuses the rest. */
final class SlottedMember {

  private static final long DELAY = 500_000;
  private static final long CONNECT_WORK = 12_000_000;
  private static final int SLOTS = 4;
  private static final int QUEUE = 12;
  private static final LogPosition POSITION = new LogPosition(1, 100);

  private record Job(long work, Runnable onDone) {}

  private final EventClock clock;
  private final String name;
  private final boolean primary;
  private final Deque<Job> queue = new ArrayDeque<>();
  private int running;
  private int proofs;

  /** Statements that have run, by id. */
  final Set<String> executed = new HashSet<>();

  int opened;

  SlottedMember(EventClock clock, String name, boolean primary) {
    this.clock = clock;
    this.name = name;
    this.primary = primary;
  }

  TargetMember describe() {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new TargetMember(new MemberId(name), 1, "main", address, "zone", SLOTS, false, primary);
  }

  Runnable connect(TargetConnector.Listener listener) {
    opened++;
    Link link = new Link(listener);
    clock.after(
        DELAY,
        () -> start(new Job(CONNECT_WORK, () -> listener.opened(link, Optional.of(POSITION)))));
    return () -> {};
  }

  private void start(Job job) {
    if (running < SLOTS) {
      running++;
      clock.after(job.work(), () -> end(job));
    } else {
      queue.add(job);
    }
  }

  private void end(Job job) {
    running--;
    if (!queue.isEmpty()) {
      start(queue.remove());
    }
    clock.after(DELAY, job.onDone());
  }

  private final class Link implements TargetLink {
    private final TargetConnector.Listener listener;
    private final Deque<TargetCommand> received = new ArrayDeque<>();
    private SessionStatus status = SessionStatus.IDLE;
    private boolean busy;
    private boolean closed;
    private long sent;

    private Link(TargetConnector.Listener listener) {
      this.listener = listener;
    }

    @Override
    public void send(TargetCommand command) {
      sent++;
      clock.after(
          DELAY,
          () -> {
            received.add(command);
            runNext();
          });
    }

    private void runNext() {
      if (busy || closed || received.isEmpty()) {
        return;
      }
      TargetCommand command = received.remove();
      if (command instanceof TargetCommand.Run run) {
        run(run);
        return;
      }
      if (command instanceof TargetCommand.Begin) {
        status = SessionStatus.IN_TRANSACTION;
      } else if (command instanceof TargetCommand.Rollback) {
        status = SessionStatus.IDLE;
      }
      SessionStatus after = status;
      clock.after(DELAY, () -> reply(Answer.DONE, after));
      runNext();
    }

    private void run(TargetCommand.Run run) {
      if (queue.size() >= QUEUE) {
        Answer busyAnswer = new Answer.Failure(FailureCode.OVERLOADED, "busy");
        SessionStatus after = status;
        clock.after(DELAY, () -> reply(busyAnswer, after));
        runNext();
        return;
      }
      busy = true;
      long work = Long.parseLong(run.text().substring(run.text().lastIndexOf(' ') + 1));
      start(
          new Job(
              work,
              () -> {
                executed.add(run.id());
                busy = false;
                proofs++;
                reply(new Answer.Success(List.of(name), "p-" + name + "-" + proofs), status);
                runNext();
              }));
    }

    private void reply(Answer answer, SessionStatus after) {
      if (!closed) {
        listener.replied(
            new TargetReply(answer, after, Optional.of(POSITION), Optional.empty(), sent));
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
      closed = true;
    }
  }
}
