package org.oleanderstep.load.workload;

import com.google.protobuf.util.Durations;
import java.sql.Connection;
import java.sql.SQLException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.oleanderstep.load.fleet.CallerKey;
import org.oleanderstep.load.fleet.Fleet;
import org.oleanderstep.load.fleet.ProxyNode;
import org.oleanderstep.load.history.Recorder;
import org.oleanderstep.schema.v1.OrganisationLoad;
import org.oleanderstep.schema.v1.Scenario;

/**
 * The load of a scenario on a fleet.
 *
 * <pre>{@code
 * Workload load = Workload.prepare(fleet, scenario, recorder, random);
 * load.start();
 * load.await();
 * }</pre>
 */
public final class Workload {

  private static final RandomGeneratorFactory<RandomGenerator> GENERATORS =
      RandomGeneratorFactory.of("L64X128MixRandom");
  // Prepare, execute and close of one statement.
  private static final int CALLS_PER_OPERATION = 3;
  private static final Duration END_LIMIT = Duration.ofSeconds(60);

  private final List<Session> sessions;
  private final ExecutorService threads;

  private Workload(List<Session> sessions) {
    this.sessions = sessions;
    this.threads =
        Executors.newFixedThreadPool(
            Math.max(1, sessions.size()),
            task -> {
              Thread thread = new Thread(task, "session");
              thread.setDaemon(true);
              return thread;
            });
  }

  /**
   * Creates the tables in all databases and opens all sessions.
   *
   * @throws SQLException if a statement of the preparation fails
   */
  public static Workload prepare(
      Fleet fleet, Scenario scenario, Recorder recorder, RandomGenerator random)
      throws SQLException {
    List<String> callers = fleet.proxies().stream().map(ProxyNode::callerAddress).toList();
    Duration deadline = Duration.ofMillis(Durations.toMillis(scenario.getCallerDeadline()));
    int moves = (int) Math.round(scenario.getOperationsBetweenMoves() * CALLS_PER_OPERATION);
    CallerConnections connections = new CallerConnections(callers, deadline, moves);
    createTables(fleet, scenario, connections);
    List<Session> sessions = new ArrayList<>();
    ProxyChoice choice = new ProxyChoice(scenario.getProxyWeightsList(), callers.size());
    for (OrganisationLoad load : scenario.getLoadsList()) {
      sessions.addAll(
          sessionsOf(
              load, fleet, connections, OperationMix.of(scenario), choice, recorder, random));
    }
    for (Session session : sessions) {
      Preparation.untilAccepted(session::open);
    }
    return new Workload(sessions);
  }

  private static void createTables(Fleet fleet, Scenario scenario, CallerConnections connections)
      throws SQLException {
    for (String database : fleet.databases()) {
      String service = database.substring(0, database.indexOf('/'));
      String organisation =
          scenario.getLoadsList().stream()
              .filter(load -> load.getService().equals(service))
              .map(OrganisationLoad::getOrganisation)
              .findFirst()
              .orElseThrow(
                  () ->
                      new IllegalArgumentException("no organisation loads the service " + service));
      CallerKey key = fleet.key(organisation);
      Preparation.untilAccepted(
          () -> {
            try (Connection connection = connections.open(database, key, 0)) {
              Tables.create(connection);
            }
          });
    }
  }

  private static List<Session> sessionsOf(
      OrganisationLoad load,
      Fleet fleet,
      CallerConnections connections,
      OperationMix mix,
      ProxyChoice choice,
      Recorder recorder,
      RandomGenerator random) {
    List<String> databases =
        fleet.databases().stream()
            .filter(database -> database.startsWith(load.getService() + "/"))
            .toList();
    List<Session> sessions = new ArrayList<>();
    double rate = load.getOperationsPerSecond() / load.getSessions();
    for (int i = 0; i < load.getSessions(); i++) {
      Session.Identity identity =
          new Session.Identity(
              load.getOrganisation() + "-" + i,
              databases.get(i % databases.size()),
              fleet.key(load.getOrganisation()),
              choice.next(random));
      RandomGenerator own = GENERATORS.create(random.nextLong());
      sessions.add(new Session(identity, connections, mix, rate, recorder, own));
    }
    return sessions;
  }

  /** Starts all sessions; none starts an operation after the given time of the run. */
  public void start(long endNs) {
    sessions.forEach(session -> session.setEnd(endNs));
    sessions.forEach(threads::execute);
    threads.shutdown();
  }

  /** Waits until all sessions have ended; returns false if some still run after a minute. */
  public boolean await(Duration running) throws InterruptedException {
    return threads.awaitTermination(running.plus(END_LIMIT).toMillis(), TimeUnit.MILLISECONDS);
  }
}
