package org.oleanderstep.core.configuration;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Published, valid declarations with lookups by key.
 *
 * <p>Immutable, so one reference to it is a consistent snapshot for traffic threads.
 *
 * <pre>{@code
 * Optional<Route> route = configuration.route("orders", organisation);
 * }</pre>
 */
public final class Configuration {

  private final long generation;
  private final String publicationId;
  private final Instant publishedAt;
  private final Declarations declarations;
  private final Map<String, Key> keys = new HashMap<>();
  private final Map<OrganisationId, Organisation> organisations = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<DatabaseId, DatabaseDefinition> databases = new HashMap<>();
  private final Map<MemberId, MemberDefinition> members = new HashMap<>();
  private final Map<MemberId, DatabaseId> databaseOfMember = new HashMap<>();
  private final Map<String, ReadRule> readRules = new HashMap<>();
  private final Map<String, Map<OrganisationId, Route>> closedRoutes = new HashMap<>();
  private final Map<String, Route> openRoutes = new HashMap<>();

  /**
   * Creates a configuration and its indexes.
   *
   * @param generation number in the sequence of publications, starting at 1
   * @param publicationId random id that distinguishes publications of the same generation
   * @param declarations valid declarations
   * @throws IllegalArgumentException if {@link ConfigurationChecker} finds a violation or the
   *     generation is not positive
   */
  public Configuration(
      long generation, String publicationId, Instant publishedAt, Declarations declarations) {
    if (generation < 1) {
      throw new IllegalArgumentException("generation must be positive: " + generation);
    }
    var violations = ConfigurationChecker.check(declarations);
    if (!violations.isEmpty()) {
      throw new IllegalArgumentException("invalid declarations: " + violations);
    }
    this.generation = generation;
    this.publicationId = Objects.requireNonNull(publicationId, "publicationId");
    this.publishedAt = Objects.requireNonNull(publishedAt, "publishedAt");
    this.declarations = declarations;
    index();
  }

  private void index() {
    declarations.keys().forEach(key -> keys.put(key.id(), key));
    declarations.organisations().forEach(item -> organisations.put(item.id(), item));
    declarations.services().forEach(this::indexService);
    declarations.readRules().forEach(rule -> readRules.put(rule.name(), rule));
    declarations.routes().forEach(this::indexRoute);
  }

  private void indexService(Service service) {
    services.put(service.name(), service);
    for (DatabaseDefinition database : service.databases()) {
      DatabaseId id = new DatabaseId(service.name(), database.name());
      databases.put(id, database);
      for (MemberDefinition member : database.members()) {
        members.put(member.id(), member);
        databaseOfMember.put(member.id(), id);
      }
    }
  }

  private void indexRoute(Route route) {
    if (route.open()) {
      openRoutes.put(route.service(), route);
      return;
    }
    Map<OrganisationId, Route> routes =
        closedRoutes.computeIfAbsent(route.service(), service -> new HashMap<>());
    route.organisations().forEach(name -> routes.put(new OrganisationId(name), route));
  }

  /** Returns the number of this configuration in the sequence of publications. */
  public long generation() {
    return generation;
  }

  /** Returns the random id of the publication. */
  public String publicationId() {
    return publicationId;
  }

  /** Returns the time of publication, by the clock of the publisher. */
  public Instant publishedAt() {
    return publishedAt;
  }

  /** Returns the objects as they were declared. */
  public Declarations declarations() {
    return declarations;
  }

  /** Returns a key by id, including withdrawn keys. */
  public Optional<Key> key(String keyId) {
    return Optional.ofNullable(keys.get(keyId));
  }

  /** Returns an organisation by name. */
  public Optional<Organisation> organisation(OrganisationId id) {
    return Optional.ofNullable(organisations.get(id));
  }

  /** Returns a service by name. */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns a database by its qualified name. */
  public Optional<DatabaseDefinition> database(DatabaseId id) {
    return Optional.ofNullable(databases.get(id));
  }

  /** Returns a member by name; member names are unique across all databases. */
  public Optional<MemberDefinition> member(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  /** Returns the database that a member belongs to. */
  public Optional<DatabaseId> databaseOf(MemberId id) {
    return Optional.ofNullable(databaseOfMember.get(id));
  }

  /** Returns a read rule by name. */
  public Optional<ReadRule> readRule(String name) {
    return Optional.ofNullable(readRules.get(name));
  }

  /** Returns the read rule of a route, if it has one. */
  public Optional<ReadRule> readRule(Route route) {
    return route.readRule().map(readRules::get);
  }

  /**
   * Returns the route that an organisation uses for a service: the one that lists the organisation,
   * or else the open route.
   */
  public Optional<Route> route(String service, OrganisationId organisation) {
    Route listed = closedRoutes.getOrDefault(service, Map.of()).get(organisation);
    return listed == null ? openRoute(service) : Optional.of(listed);
  }

  /** Returns the open route of a service, which callers without a key use. */
  public Optional<Route> openRoute(String service) {
    return Optional.ofNullable(openRoutes.get(service));
  }

  @Override
  public String toString() {
    return "generation " + generation + " (publication " + publicationId + ")";
  }
}
