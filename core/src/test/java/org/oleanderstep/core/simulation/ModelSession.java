package org.oleanderstep.core.simulation;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.position.SessionState;
import org.oleanderstep.core.position.SessionToken;
import org.oleanderstep.core.routing.ReadRule;

/**
 * A caller that writes and reads one call after the other, each through any proxy; some callers
 * keep no session token, as a stock driver does.
 */
final class ModelSession {

  private static final long CALLER_TIMEOUT_NANOS = 2 * Simulator.SECONDS;
  private static final int MAX_REPEATS = 4;
  private static final ReadRule AGED =
      new ReadRule(Optional.of(Duration.ofMillis(500)), Duration.ofMillis(20));

  private final String name;
  private final Simulator simulator;
  private final History history;
  private final boolean keepsToken;
  private final List<ModelProxy> proxies;
  private final long pauseNanos;
  private final Set<String> acknowledged = new HashSet<>();
  private String token = SessionToken.encode(SessionState.EMPTY);
  private int requests;
  private int calls;
  private boolean stopped;
  int served;
  long lastServedNanos;

  ModelSession(
      String name,
      Simulator simulator,
      History history,
      boolean keepsToken,
      List<ModelProxy> proxies,
      long pauseNanos) {
    this.name = name;
    this.simulator = simulator;
    this.history = history;
    this.keepsToken = keepsToken;
    this.proxies = proxies;
    this.pauseNanos = pauseNanos;
  }

  void start() {
    simulator.after(pauseNanos + simulator.random.nextInt(1_000_000), this::next);
  }

  void stop() {
    stopped = true;
  }

  private void next() {
    if (stopped) {
      return;
    }
    if (simulator.random.nextInt(100) < 50) {
      boolean hasId = simulator.random.nextInt(100) < 70;
      write(name + "-" + requests++, hasId, 0);
    } else {
      read();
    }
  }

  private void read() {
    Set<String> mustSee = Set.copyOf(acknowledged);
    ReadRule rule = simulator.random.nextBoolean() ? AGED : ReadRule.SESSION;
    call(
        (proxy, reply) -> proxy.read(state(), rule, reply),
        answer -> {
          if (answer.isPresent() && answer.get().outcome() instanceof Outcome.Served) {
            keep(answer.get().state());
            history.add(new History.Read(name, mustSee, answer.get().seen()));
          }
          start();
        });
  }

  private void write(String request, boolean hasId, int repeats) {
    String call = request + "#" + calls++;
    call(
        (proxy, reply) -> proxy.write(request, call, hasId, state(), reply),
        answer -> onWritten(request, call, hasId, repeats, answer));
  }

  private void onWritten(
      String request, String call, boolean hasId, int repeats, Optional<ModelProxy.Answer> answer) {
    Outcome outcome =
        answer.map(ModelProxy.Answer::outcome).orElse(new Outcome.Unknown("no answer"));
    answer.ifPresent(given -> keep(given.state()));
    if (outcome instanceof Outcome.NotRun notRun) {
      tellNotRun(request, call, notRun);
      start();
    } else if (outcome instanceof Outcome.Served) {
      tellServed(request);
      start();
    } else if (!hasId) {
      start();
    } else if (repeats < MAX_REPEATS && simulator.random.nextInt(100) < 70) {
      write(request, true, repeats + 1);
    } else {
      abandon(request, repeats + 1);
    }
  }

  private void abandon(String request, int repeats) {
    String call = request + "#" + calls++;
    call(
        (proxy, reply) -> proxy.abandon(request, call, state(), reply),
        answer -> onWritten(request, call, repeats <= MAX_REPEATS, MAX_REPEATS, answer));
  }

  private void tellNotRun(String request, String call, Outcome.NotRun notRun) {
    history.add(new History.ToldNotRun(call));
    if (notRun.reason() == NotRunReason.TRANSACTION_LOST) {
      history.add(new History.ToldAbandoned(request));
    }
  }

  private void tellServed(String request) {
    history.add(new History.ToldServed(name, request));
    acknowledged.add(request);
    served++;
    lastServedNanos = simulator.now();
  }

  private SessionState state() {
    return ((SessionToken.Decoded.Valid) SessionToken.decode(token)).state();
  }

  private void keep(SessionState state) {
    if (keepsToken) {
      token = SessionToken.encode(state);
    }
  }

  /** Sends a call to any proxy; the answer is empty if it does not come in time. */
  private void call(
      BiConsumer<ModelProxy, Consumer<ModelProxy.Answer>> work,
      Consumer<Optional<ModelProxy.Answer>> onAnswer) {
    ModelProxy proxy = proxies.get(simulator.random.nextInt(proxies.size()));
    boolean[] done = {false};
    Consumer<ModelProxy.Answer> reply =
        answer -> simulator.send(proxy.name, name, () -> once(done, onAnswer, Optional.of(answer)));
    simulator.send(name, proxy.name, () -> work.accept(proxy, reply));
    simulator.after(CALLER_TIMEOUT_NANOS, () -> once(done, onAnswer, Optional.empty()));
  }

  private static void once(
      boolean[] done,
      Consumer<Optional<ModelProxy.Answer>> onAnswer,
      Optional<ModelProxy.Answer> answer) {
    if (!done[0]) {
      done[0] = true;
      onAnswer.accept(answer);
    }
  }
}
