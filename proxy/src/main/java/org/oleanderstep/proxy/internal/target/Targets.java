package org.oleanderstep.proxy.internal.target;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;

/**
 * Runs work with connections to the members of all databases.
 *
 * <p>Thread-safe.
 *
 * <pre>{@code
 * targets.run(database, LeaseRequest.write(organisation, true, sessionPosition, deadline, callerGone), this::update);
 * }</pre>
 */
public final class Targets implements AutoCloseable {

  private final TrafficContext context;
  private final Map<DatabaseId, DatabaseRequestRouter> databases = new ConcurrentHashMap<>();

  /** Creates an instance without databases; they are added from snapshots. */
  public Targets(TrafficContext context) {
    this.context = context;
  }

  /**
   * Runs work with a connection to a member that can serve the request.
   *
   * @param work runs on a worker thread and may block; it must release the lease, or keep it for
   *     later use
   * @return the result of the work, or an {@link OutcomeException} if no connection was granted
   */
  public <T> CompletableFuture<T> run(
      DatabaseId database, LeaseRequest request, Function<Lease, T> work) {
    DatabaseRequestRouter router = databases.get(database);
    if (router == null) {
      return CompletableFuture.failedFuture(
          OutcomeException.notRun(
              NotRunReason.NOT_READY, "the proxy has no configuration for this database yet"));
    }
    return router.run(request, work);
  }

  /** Applies a snapshot to all databases. */
  public void onSnapshot(ControlSnapshot snapshot) {
    snapshot
        .configuration()
        .ifPresent(
            configuration ->
                configuration
                    .declarations()
                    .services()
                    .forEach(
                        service ->
                            service
                                .databases()
                                .forEach(item -> addDatabase(service.name(), item.name()))));
    databases.values().forEach(database -> database.onSnapshot(snapshot));
  }

  private void addDatabase(String service, String name) {
    databases.computeIfAbsent(
        new DatabaseId(service, name), id -> new DatabaseRequestRouter(id, context));
  }

  /** Routes or refuses requests whose wait has ended; called every few milliseconds. */
  public void tick() {
    long now = System.nanoTime();
    databases.values().forEach(database -> database.tick(now));
  }

  /**
   * Returns the number of statements and transactions of this proxy that hold a connection to a
   * member.
   */
  public int outstanding(DatabaseId database, MemberId member) {
    return Optional.ofNullable(databases.get(database))
        .map(router -> router.outstanding(member))
        .orElse(0);
  }

  /** Returns the number of requests that wait for a connection or a member. */
  public int waitingRequests() {
    return databases.values().stream().mapToInt(DatabaseRequestRouter::waitingRequests).sum();
  }

  @Override
  public void close() {
    databases.values().forEach(DatabaseRequestRouter::close);
  }
}
