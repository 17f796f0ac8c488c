package org.oleanderstep.proxy.internal.traffic;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.configuration.DatabaseDefinition;
import org.oleanderstep.core.configuration.Declarations;
import org.oleanderstep.core.configuration.Key;
import org.oleanderstep.core.configuration.KeyVerifier;
import org.oleanderstep.core.configuration.MemberDefinition;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.configuration.ReadRule;
import org.oleanderstep.core.configuration.Route;
import org.oleanderstep.core.configuration.Service;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.routing.ConfirmedPosition;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.core.routing.MemberView;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.Role;

/**
 * A {@link ControlPlane} that reads the state of members in this process. It admits all requests
 * unless a test sets another admission.
 */
final class TestControlPlane implements ControlPlane {

  static final String SECRET = "a-secret-of-the-tests";
  static final DatabaseId ORDERS = new DatabaseId("shop", "orders");
  static final DatabaseId CATALOGUE = new DatabaseId("catalogue", "items");
  static final DatabaseId STRICT = new DatabaseId("strict", "orders");

  private final TestGroup group;
  private final String vm;
  private final String instance;
  private final List<TrafficEvent> events = new CopyOnWriteArrayList<>();
  private volatile TrafficPlane traffic;
  private volatile Configuration configuration;
  private volatile ControlSnapshot snapshot;
  private volatile Admission admission = new Admission.Admitted();

  TestControlPlane(TestGroup group, String vm) {
    this.group = group;
    this.vm = vm;
    this.instance = vm + "-" + System.nanoTime();
    this.configuration = configuration(1, Set.of());
    refresh();
  }

  private Configuration configuration(long generation, Set<String> withdrawn) {
    String hash = KeyVerifier.sha256(SECRET.getBytes(StandardCharsets.UTF_8));
    Declarations declarations =
        new Declarations(
            List.of(new Organisation("north", 10_000, 1_000), new Organisation("south", 100, 100)),
            List.of(
                new Key("north-1", "north", hash, withdrawn.contains("north-1")),
                new Key("south-1", "south", hash, withdrawn.contains("south-1"))),
            List.of(
                service(ORDERS, ""), service(CATALOGUE, "catalogue-"), service(STRICT, "strict-")),
            List.of(
                route("orders", "shop", false),
                new Route("catalogue", "catalogue", List.of(), true, false, Optional.of("current")),
                route("strict", "strict", true)),
            List.of(new ReadRule("current", Duration.ZERO, Duration.ofMillis(20))),
            List.of());
    return new Configuration(generation, "publication-" + generation, Instant.EPOCH, declarations);
  }

  private static Route route(String name, String service, boolean requireRequestId) {
    return new Route(
        name, service, List.of("north", "south"), false, requireRequestId, Optional.empty());
  }

  private Service service(DatabaseId database, String prefix) {
    List<MemberDefinition> members = new ArrayList<>();
    group
        .members()
        .forEach(
            (name, member) ->
                members.add(
                    new MemberDefinition(
                        prefix + name,
                        name,
                        // Each declared member must have a different address.
                        group.url(name) + ";declared=" + prefix + name,
                        prefix + name + ":" + member.controlAddress().getPort())));
    return new Service(
        database.service(),
        "here",
        List.of(
            new DatabaseDefinition(
                database.database(), members, TestGroup.SLOTS, group.connections() / 4)));
  }

  void attach(TrafficPlane plane) {
    traffic = plane;
  }

  /** Reads the state of all members and publishes a snapshot. */
  void refresh() {
    Map<DatabaseId, GroupView> groups = new HashMap<>();
    Map<MemberId, String> incarnations = new HashMap<>();
    groups.put(ORDERS, view(ORDERS, "", incarnations));
    groups.put(CATALOGUE, view(CATALOGUE, "catalogue-", incarnations));
    groups.put(STRICT, view(STRICT, "strict-", incarnations));
    publish(
        new ControlSnapshot(
            new VmId(vm),
            instance,
            Optional.of(configuration),
            true,
            true,
            false,
            1,
            groups,
            incarnations,
            Set.of()));
  }

  private GroupView view(DatabaseId database, String prefix, Map<MemberId, String> incarnations) {
    List<MemberView> members = new ArrayList<>();
    long term = 0;
    long requestedAt = System.nanoTime();
    Optional<MemberId> primary = Optional.empty();
    List<ConfirmedPosition> confirmed = List.of();
    for (var entry : group.members().entrySet()) {
      MemberStatus status = entry.getValue().status();
      MemberId id = new MemberId(prefix + entry.getKey());
      incarnations.put(id, status.getIncarnation());
      LogPosition applied =
          new LogPosition(status.getApplied().getTerm(), status.getApplied().getIndex());
      members.add(
          new MemberView(
              id,
              status.getIncarnation(),
              applied,
              1_000,
              0,
              false,
              true,
              status.getLeaving(),
              false));
      if (status.getTerm() >= term && status.getRole() == Role.PRIMARY) {
        primary = Optional.of(id);
        confirmed = List.of(new ConfirmedPosition(requestedAt, applied));
      }
      term = Math.max(term, status.getTerm());
    }
    return new GroupView(database, term, primary, members, confirmed);
  }

  private void publish(ControlSnapshot next) {
    snapshot = next;
    TrafficPlane attached = traffic;
    if (attached != null) {
      attached.onSnapshot(next);
    }
  }

  /** Publishes a changed copy of the current snapshot. */
  void change(UnaryOperator<ControlSnapshot> change) {
    publish(change.apply(snapshot));
  }

  /** Publishes a new configuration in which exactly these keys are withdrawn. */
  void withdrawKeys(String... keys) {
    configuration = configuration(configuration.generation() + 1, Set.of(keys));
    refresh();
  }

  void setAdmission(Admission next) {
    admission = next;
  }

  List<TrafficEvent> events() {
    return events;
  }

  @Override
  public ControlSnapshot snapshot() {
    return snapshot;
  }

  @Override
  public void report(TrafficEvent event) {
    if (!(event instanceof TrafficEvent.PositionSeen)) {
      events.add(event);
    }
  }

  @Override
  public void requestMemberStatus(DatabaseId database) {
    refresh();
  }

  @Override
  public CompletableFuture<Admission> admit(OrganisationId organisation, long deadlineNanos) {
    return CompletableFuture.completedFuture(admission);
  }
}
