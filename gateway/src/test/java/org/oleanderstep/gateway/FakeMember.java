package org.oleanderstep.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.FailureCode;
import org.oleanderstep.gateway.session.SessionStatus;
import org.oleanderstep.gateway.session.StatementEffect;
import org.oleanderstep.gateway.target.TargetCommand;
import org.oleanderstep.gateway.target.TargetConnector;
import org.oleanderstep.gateway.target.TargetLink;
import org.oleanderstep.gateway.target.TargetReply;

/**
 * An in-memory member of a database service. It acts as primary or replica, refuses what a replica
 * must refuse, and tracks the state of its connections. Tests inject faults.
 */
public final class FakeMember {

  /** The fault that affects the next commands and connections. */
  public enum Fault {
    NONE,
    /** Nothing is executed or answered. */
    SILENT,
    /** The statement is executed, and the connection is reset before the reply. */
    RUN_AND_RESET,
    /** Connections are refused. */
    DOWN
  }

  private final String name;
  private final String service;
  private final List<Runnable> network;
  public final List<String> executedStatements = new ArrayList<>();
  public final List<String> organisations = new ArrayList<>();
  public LogPosition position = new LogPosition(1, 100);
  public Optional<LogPosition> receivedPosition = Optional.empty();
  public int refusedInquiries;

  /** The number of changes of a session that are refused, and with what code. */
  public int refusedChanges;

  public FailureCode changeRefusal = FailureCode.OVERLOADED;
  public boolean primary;
  public boolean claimsPrimary;
  public boolean draining;
  public Fault fault = Fault.NONE;
  public int connectionLimit = 100;
  public int openConnections;

  FakeMember(String name, String service, boolean primary, List<Runnable> network) {
    this.name = name;
    this.service = service;
    this.primary = primary;
    this.network = network;
    claimsPrimary = primary;
  }

  public MemberId id() {
    return new MemberId(name);
  }

  public TargetMember describe() {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new TargetMember(id(), 1, service, address, "zone", 2, draining, claimsPrimary);
  }

  Runnable connect(String organisation, TargetConnector.Listener listener) {
    if (fault == Fault.SILENT) {
      return () -> {};
    }
    network.add(
        () -> {
          if (fault == Fault.DOWN) {
            listener.refused(Optional.empty(), "connection refused");
          } else if (openConnections >= connectionLimit) {
            listener.refused(Optional.of(FailureCode.TOO_MANY_CONNECTIONS), "full");
          } else {
            openConnections++;
            organisations.add(organisation);
            listener.opened(new Link(listener), Optional.of(position));
          }
        });
    return () -> {};
  }

  private final class Link implements TargetLink {
    private final TargetConnector.Listener listener;
    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, StatementEffect> prepared = new HashMap<>();
    private final Set<String> writes = new HashSet<>();
    private SessionStatus status = SessionStatus.IDLE;
    private boolean readWrite;
    private boolean closed;

    private Link(TargetConnector.Listener listener) {
      this.listener = listener;
    }

    @Override
    public void send(TargetCommand command, Consumer<TargetReply> onReply) {
      network.add(() -> receive(command, onReply));
    }

    private void receive(TargetCommand command, Consumer<TargetReply> onReply) {
      if (closed || fault == Fault.SILENT) {
        return;
      }
      Answer answer = run(command);
      boolean statement =
          command instanceof TargetCommand.Run || command instanceof TargetCommand.Execute;
      if (statement && fault == Fault.RUN_AND_RESET) {
        end();
        listener.lost("connection reset");
        return;
      }
      boolean refused = changesSession(command) && changeRefusal.notRun();
      if (answer instanceof Answer.Failure && !refused && status == SessionStatus.IN_TRANSACTION) {
        status = SessionStatus.FAILED_TRANSACTION;
      }
      boolean inquiry = command instanceof TargetCommand.ReportReceived;
      LogPosition told = inquiry ? receivedPosition.orElse(position) : position;
      onReply.accept(new TargetReply(answer, status, Optional.of(told)));
    }

    private boolean changesSession(TargetCommand command) {
      return command instanceof TargetCommand.SetVariable
          || command instanceof TargetCommand.Reset
          || command instanceof TargetCommand.Prepare;
    }

    private Answer run(TargetCommand command) {
      if (changesSession(command) && refusedChanges > 0) {
        refusedChanges--;
        return failure(changeRefusal);
      }
      if (command instanceof TargetCommand.SetVariable set) {
        variables.put(set.name(), set.value());
        return Answer.DONE;
      }
      if (command instanceof TargetCommand.Reset) {
        variables.clear();
        prepared.clear();
        return Answer.DONE;
      }
      if (command instanceof TargetCommand.Prepare prepare) {
        prepared.put(prepare.name(), prepare.effect());
        return Answer.DONE;
      }
      if (command instanceof TargetCommand.ReportReceived) {
        return refusedInquiries-- > 0 ? failure(FailureCode.OVERLOADED) : Answer.DONE;
      }
      if (command instanceof TargetCommand.Begin begin) {
        return begin(begin);
      }
      if (command instanceof TargetCommand.Rollback) {
        status = SessionStatus.IDLE;
        writes.clear();
        return Answer.DONE;
      }
      if (command instanceof TargetCommand.Execute execute) {
        StatementEffect effect = prepared.get(execute.name());
        if (effect == null) {
          return failure(FailureCode.UNKNOWN_STATEMENT);
        }
        String text = effect + " prepared " + execute.arguments();
        return statement(text, effect == StatementEffect.WRITE, execute.requiredPosition());
      }
      TargetCommand.Run run = (TargetCommand.Run) command;
      if (run.text().equals("COMMIT")) {
        return commit();
      }
      return statement(run.text(), run.text().startsWith("WRITE"), run.requiredPosition());
    }

    private Answer begin(TargetCommand.Begin begin) {
      if (begin.requiredPosition().filter(p -> p.compareTo(position) > 0).isPresent()) {
        return failure(FailureCode.BEHIND);
      }
      if (!begin.readOnly() && !primary) {
        return failure(FailureCode.READ_ONLY);
      }
      status = SessionStatus.IN_TRANSACTION;
      readWrite = !begin.readOnly();
      return Answer.DONE;
    }

    private Answer statement(
        String text, boolean writesData, Optional<LogPosition> requiredPosition) {
      if (requiredPosition.filter(p -> p.compareTo(position) > 0).isPresent()) {
        return failure(FailureCode.BEHIND);
      }
      boolean inReadWriteTransaction = status == SessionStatus.IN_TRANSACTION && readWrite;
      if (!primary && (writesData || inReadWriteTransaction)) {
        return failure(FailureCode.READ_ONLY);
      }
      executedStatements.add(text + " " + variables);
      if (writesData && status == SessionStatus.IN_TRANSACTION) {
        writes.add(text);
      } else if (writesData) {
        position = new LogPosition(position.term(), position.index() + 1);
      }
      return new Answer.Success(List.of(name), "proof-" + name);
    }

    private Answer commit() {
      if (!writes.isEmpty() && !primary) {
        return failure(FailureCode.READ_ONLY);
      }
      if (!writes.isEmpty()) {
        position = new LogPosition(position.term(), position.index() + 1);
        executedStatements.add("COMMIT");
      }
      writes.clear();
      status = SessionStatus.IDLE;
      return new Answer.Success(List.of(), "proof-" + name);
    }

    private Answer failure(FailureCode code) {
      return new Answer.Failure(code, name);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
      end();
    }

    private void end() {
      if (!closed) {
        closed = true;
        openConnections--;
      }
    }
  }
}
