package org.oleanderstep.gateway;

import java.util.ArrayList;
import java.util.List;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.CallerChannel;
import org.oleanderstep.gateway.session.FailureCode;
import org.oleanderstep.gateway.session.Session;
import org.oleanderstep.gateway.session.SessionStatus;
import org.oleanderstep.gateway.session.Statement;
import org.oleanderstep.gateway.session.StatementEffect;
import org.oleanderstep.gateway.session.StatementKind;

/** A caller that records the answers and events that it receives. */
public final class FakeCaller implements CallerChannel {

  private final GatewayFixture fixture;
  private final Session session;
  public final List<Answer> answers = new ArrayList<>();
  public final List<FailureCode> refusals = new ArrayList<>();
  public SessionStatus status = SessionStatus.IDLE;
  public boolean opened;
  public boolean closed;
  public boolean receiving;

  /** Resumes the session while an answer is written, as a connection that drains at once does. */
  public boolean resumesWhileAnswered;

  /** Thrown instead of recording the next answer, if set. */
  public RuntimeException defect;

  /** Thrown when the connection is closed, if set. */
  public RuntimeException closeDefect;

  private int nextId;

  FakeCaller(GatewayFixture fixture) {
    this.fixture = fixture;
    session = fixture.gateway.newSession(this);
  }

  void open(String database, String key) {
    session.open(database, key);
  }

  /** Sends a statement without waiting for the network. */
  public void send(StatementKind kind, String text) {
    session.execute(Statement.plain("id-" + nextId++, kind, text));
  }

  /** Sends a statement that has a name. */
  public void send(StatementKind kind, String name, String argument, StatementEffect effect) {
    session.execute(
        new Statement("id-" + nextId++, kind, kind + " " + name, name, argument, effect));
  }

  /** Sends a statement and delivers all pending messages. */
  public Answer run(StatementKind kind, String text) {
    send(kind, text);
    fixture.deliver();
    return last();
  }

  public Answer read() {
    return run(StatementKind.READ, "READ item");
  }

  public Answer write() {
    return run(StatementKind.WRITE, "WRITE item data");
  }

  public Answer last() {
    return answers.get(answers.size() - 1);
  }

  /** Returns the name of the member that served the last statement. */
  public String servedBy() {
    return ((Answer.Success) last()).rows().get(0);
  }

  /** Returns the failure of the last statement. */
  public FailureCode failure() {
    return ((Answer.Failure) last()).code();
  }

  public void disconnect() {
    fixture.gateway.remove(session);
  }

  @Override
  public void opened() {
    opened = true;
  }

  @Override
  public void refuse(FailureCode code, String text) {
    refusals.add(code);
    closed = true;
  }

  @Override
  public void answer(Answer answer, SessionStatus newStatus) {
    if (defect != null) {
      throw defect;
    }
    answers.add(answer);
    status = newStatus;
    if (resumesWhileAnswered) {
      session.resume();
    }
  }

  @Override
  public void close() {
    if (closeDefect != null) {
      throw closeDefect;
    }
    closed = true;
  }

  @Override
  public boolean isReceiving() {
    return receiving;
  }

  @Override
  public void runAfterInput(Runnable action) {
    action.run();
  }
}
