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
 * Gives out connections to the members of all databases.
 *
 * <pre>{@code
 * targets.run(database, LeaseRequest.write(organisation, true, floor, deadline, callerGone), this::update);
 * }</pre>
 */
public final class Targets implements AutoCloseable {

  private final TrafficContext context;
  private final Map<DatabaseId, DatabaseTraffic> databases = new ConcurrentHashMap<>();

  /** Creates the target side; it learns the databases from snapshots. */
  public Targets(TrafficContext context) {
    this.context = context;
  }

  /**
   * Runs work with a connection to a member that may serve the request.
   *
   * @param work runs on a worker thread and may block; it must release the lease or keep it
   * @return the result of the work, or an {@link OutcomeException} if no connection was granted
   */
  public <T> CompletableFuture<T> run(
      DatabaseId database, LeaseRequest request, Function<Lease, T> work) {
    DatabaseTraffic traffic = databases.get(database);
    if (traffic == null) {
      return CompletableFuture.failedFuture(
          OutcomeException.notRun(NotRunReason.NOT_READY, "the database is not known yet"));
    }
    return traffic.run(request, work);
  }

  /** Adopts a snapshot. */
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
                            service.databases().forEach(item -> add(service.name(), item.name()))));
    databases.values().forEach(database -> database.onSnapshot(snapshot));
  }

  private void add(String service, String name) {
    databases.computeIfAbsent(
        new DatabaseId(service, name), id -> new DatabaseTraffic(id, context));
  }

  /** Handles what has waited long enough; called every few milliseconds. */
  public void tick() {
    long now = System.nanoTime();
    databases.values().forEach(database -> database.tick(now));
  }

  /** Returns the statements and transactions of this proxy that hold a connection to a member. */
  public int outstanding(DatabaseId database, MemberId member) {
    return Optional.ofNullable(databases.get(database))
        .map(traffic -> traffic.outstanding(member))
        .orElse(0);
  }

  /** Returns the requests that wait for a connection or a member. */
  public int waiting() {
    return databases.values().stream().mapToInt(DatabaseTraffic::waiting).sum();
  }

  @Override
  public void close() {
    databases.values().forEach(DatabaseTraffic::close);
  }
}
