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
 * Model of a caller: sends one call at a time, a read or a write, each through a random proxy. Some
 * callers store no session token, as an unmodified database driver does.
 */
final class ModelSession {

  private static final long CALLER_TIMEOUT_NANOS = 2 * Simulator.SECONDS;
  private static final int MAX_REPEATS = 4;
  private static final ReadRule BOUNDED_STALENESS =
      new ReadRule(Optional.of(Duration.ofMillis(500)), Duration.ofMillis(20));

  private final String name;
  private final Simulator simulator;
  private final History history;
  private final boolean keepsToken;
  private final List<ModelProxy> proxies;
  private final long thinkTimeNanos;
  private final Set<String> servedRequests = new HashSet<>();
  private String token = SessionToken.encode(SessionState.EMPTY);
  private int requestCount;
  private int callCount;
  private boolean stopped;
  int servedCount;
  long lastServedNanos;

  ModelSession(
      String name,
      Simulator simulator,
      History history,
      boolean keepsToken,
      List<ModelProxy> proxies,
      long thinkTimeNanos) {
    this.name = name;
    this.simulator = simulator;
    this.history = history;
    this.keepsToken = keepsToken;
    this.proxies = proxies;
    this.thinkTimeNanos = thinkTimeNanos;
  }

  void scheduleNext() {
    simulator.after(thinkTimeNanos + simulator.random.nextInt(1_000_000), this::sendNext);
  }

  void stop() {
    stopped = true;
  }

  private void sendNext() {
    if (stopped) {
      return;
    }
    if (simulator.random.nextInt(100) < 50) {
      boolean hasId = simulator.random.nextInt(100) < 70;
      write(name + "-" + requestCount++, hasId, 0);
    } else {
      read();
    }
  }

  private void read() {
    Set<String> expected = Set.copyOf(servedRequests);
    ReadRule rule = simulator.random.nextBoolean() ? BOUNDED_STALENESS : ReadRule.SESSION;
    sendToAnyProxy(
        (proxy, onReply) -> proxy.read(state(), rule, onReply),
        response -> {
          if (response.isPresent() && response.get().outcome() instanceof Outcome.Served) {
            storeToken(response.get().state());
            history.add(new History.Read(name, expected, response.get().seen()));
          }
          scheduleNext();
        });
  }

  private void write(String request, boolean hasId, int repeats) {
    String call = request + "#" + callCount++;
    sendToAnyProxy(
        (proxy, onReply) -> proxy.write(request, call, hasId, state(), onReply),
        response -> onWriteResponse(request, call, hasId, repeats, response));
  }

  private void onWriteResponse(
      String request,
      String call,
      boolean hasId,
      int repeats,
      Optional<ModelProxy.Response> response) {
    Outcome outcome =
        response.map(ModelProxy.Response::outcome).orElse(new Outcome.Unknown("no response"));
    response.ifPresent(received -> storeToken(received.state()));
    if (outcome instanceof Outcome.NotRun notRun) {
      recordNotRun(request, call, notRun);
      scheduleNext();
    } else if (outcome instanceof Outcome.Served) {
      recordServed(request);
      scheduleNext();
    } else if (!hasId) {
      scheduleNext();
    } else if (repeats < MAX_REPEATS && simulator.random.nextInt(100) < 70) {
      write(request, true, repeats + 1);
    } else {
      abandon(request, repeats + 1);
    }
  }

  private void abandon(String request, int repeats) {
    String call = request + "#" + callCount++;
    sendToAnyProxy(
        (proxy, onReply) -> proxy.abandon(request, call, state(), onReply),
        response -> onWriteResponse(request, call, repeats <= MAX_REPEATS, MAX_REPEATS, response));
  }

  private void recordNotRun(String request, String call, Outcome.NotRun notRun) {
    history.add(new History.ReportedNotRun(call));
    if (notRun.reason() == NotRunReason.TRANSACTION_LOST) {
      history.add(new History.ReportedAbandoned(request));
    }
  }

  private void recordServed(String request) {
    history.add(new History.ReportedServed(name, request));
    servedRequests.add(request);
    servedCount++;
    lastServedNanos = simulator.now();
  }

  private SessionState state() {
    return ((SessionToken.Decoded.Valid) SessionToken.decode(token)).state();
  }

  private void storeToken(SessionState state) {
    if (keepsToken) {
      token = SessionToken.encode(state);
    }
  }

  /** Sends a call to a random proxy; the response is empty if the caller times out first. */
  private void sendToAnyProxy(
      BiConsumer<ModelProxy, Consumer<ModelProxy.Response>> send,
      Consumer<Optional<ModelProxy.Response>> onResponse) {
    ModelProxy proxy = proxies.get(simulator.random.nextInt(proxies.size()));
    boolean[] done = {false};
    Consumer<ModelProxy.Response> onReply =
        response ->
            simulator.send(
                proxy.name, name, () -> completeOnce(done, onResponse, Optional.of(response)));
    simulator.send(name, proxy.name, () -> send.accept(proxy, onReply));
    simulator.after(CALLER_TIMEOUT_NANOS, () -> completeOnce(done, onResponse, Optional.empty()));
  }

  private static void completeOnce(
      boolean[] done,
      Consumer<Optional<ModelProxy.Response>> onResponse,
      Optional<ModelProxy.Response> response) {
    if (!done[0]) {
      done[0] = true;
      onResponse.accept(response);
    }
  }
}
