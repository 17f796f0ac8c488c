package org.oleanderstep.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Validates declarations before they are published.
 *
 * <pre>{@code
 * List<Violation> violations = ConfigurationChecker.check(declarations);
 * }</pre>
 *
 * <p>The size limit of the published value depends on its encoding and is checked by the adapter.
 */
public final class ConfigurationChecker {

  /** At higher rates, whole nanoseconds are too coarse for the time between two tokens. */
  public static final double MAX_RATE_PER_SECOND = 10_000_000;

  /** At lower rates, one token takes longer than the lifetime of a process. */
  public static final double MIN_RATE_PER_SECOND = 0.0001;

  /** Higher bursts are more than any operator would admit at once. */
  public static final double MAX_BURST = 100_000_000;

  /** Maximum duration in a read rule. */
  public static final Duration MAX_READ_RULE_DURATION = Duration.ofHours(24);

  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?");
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern HOST_AND_PORT =
      Pattern.compile("(\\[[0-9a-fA-F:.]+]|[A-Za-z0-9._-]+):([0-9]{1,5})");
  private static final Pattern CREDENTIALS =
      Pattern.compile("(?i)([?;&,](user|password|avatica_user|avatica_password)=)|(//[^/]*@)");
  private static final int MAX_PORT = 65_535;

  private final Declarations declarations;
  private final List<Violation> violations = new ArrayList<>();
  private final Set<String> organisations;
  private final Set<String> services;
  private final Set<String> readRules;
  private final Map<String, String> memberByName = new HashMap<>();
  private final Map<String, String> memberByAddress = new HashMap<>();
  private final Map<String, String> routeByServiceAndCaller = new HashMap<>();

  private ConfigurationChecker(Declarations declarations) {
    this.declarations = declarations;
    organisations = names(declarations.organisations(), Organisation::name);
    services = names(declarations.services(), Service::name);
    readRules = names(declarations.readRules(), ReadRule::name);
  }

  /** Returns all violations, in the order of the declared objects. */
  public static List<Violation> check(Declarations declarations) {
    ConfigurationChecker checker = new ConfigurationChecker(declarations);
    checker.checkAll();
    return List.copyOf(checker.violations);
  }

  private static <T> Set<String> names(List<T> items, Function<T, String> name) {
    return items.stream().map(name).collect(Collectors.toSet());
  }

  private void checkAll() {
    checkNames(ObjectKind.ORGANISATION, "name", declarations.organisations(), Organisation::name);
    declarations.organisations().forEach(this::checkOrganisation);
    checkNames(ObjectKind.KEY, "id", declarations.keys(), Key::id);
    declarations.keys().forEach(this::checkKey);
    checkNames(ObjectKind.SERVICE, "name", declarations.services(), Service::name);
    declarations.services().forEach(this::checkService);
    checkNames(ObjectKind.ROUTE, "name", declarations.routes(), Route::name);
    declarations.routes().forEach(this::checkRoute);
    checkNames(ObjectKind.READ_RULE, "name", declarations.readRules(), ReadRule::name);
    declarations.readRules().forEach(this::checkReadRule);
    checkNames(ObjectKind.OBJECTIVE, "name", declarations.objectives(), Objective::name);
    declarations.objectives().forEach(this::checkObjective);
  }

  private <T> void checkNames(
      ObjectKind kind, String field, List<T> items, Function<T, String> name) {
    Set<String> seen = new HashSet<>();
    for (T item : items) {
      String value = name.apply(item);
      checkName(kind, value, field, value);
      if (!seen.add(value)) {
        addViolation(
            kind, value, field, "two objects have the same " + field, "rename one of them");
      }
    }
  }

  private void checkName(ObjectKind kind, String object, String field, String value) {
    if (!NAME.matcher(value).matches()) {
      addViolation(
          kind,
          object,
          field,
          "\"" + value + "\" is not a valid name",
          "use 1 to 63 lower-case letters, digits, dots, hyphens and underscores, with a letter or"
              + " digit at both ends");
    }
  }

  private void checkOrganisation(Organisation organisation) {
    double rate = organisation.ratePerSecond();
    if (!Double.isFinite(rate)
        || rate > MAX_RATE_PER_SECOND
        || (rate != 0 && rate < MIN_RATE_PER_SECOND)) {
      addViolation(
          ObjectKind.ORGANISATION,
          organisation.name(),
          "ratePerSecond",
          rate + " is not a valid rate",
          "use 0 or a number from " + MIN_RATE_PER_SECOND + " to " + MAX_RATE_PER_SECOND);
    }
    double burst = organisation.burst();
    if (!Double.isFinite(burst) || burst < 1 || burst > MAX_BURST) {
      addViolation(
          ObjectKind.ORGANISATION,
          organisation.name(),
          "burst",
          burst + " is not a valid burst",
          "use a number from 1 to " + MAX_BURST + "; below 1 no statement could ever run");
    }
  }

  private void checkKey(Key key) {
    checkReference(ObjectKind.KEY, key.id(), "organisation", key.organisation(), organisations);
    if (!SHA_256.matcher(key.secretSha256()).matches()) {
      addViolation(
          ObjectKind.KEY,
          key.id(),
          "secretSha256",
          "the value is not a SHA-256 digest of 64 lower-case hexadecimal digits",
          "declare the digest of the secret, never the secret itself");
    }
  }

  private void checkReference(
      ObjectKind kind, String object, String field, String target, Set<String> declared) {
    if (!declared.contains(target)) {
      addViolation(
          kind,
          object,
          field,
          "\"" + target + "\" is not declared",
          "declare it, or name one that is");
    }
  }

  private void checkService(Service service) {
    checkName(ObjectKind.SERVICE, service.name(), "region", service.region());
    if (service.databases().isEmpty()) {
      addViolation(
          ObjectKind.SERVICE,
          service.name(),
          "databases",
          "the service has no database",
          "declare at least one, or remove the service");
    }
    Set<String> seen = new HashSet<>();
    for (DatabaseDefinition database : service.databases()) {
      String name = service.name() + "/" + database.name();
      checkName(ObjectKind.DATABASE, name, "name", database.name());
      if (!seen.add(database.name())) {
        addViolation(
            ObjectKind.DATABASE,
            name,
            "name",
            "two databases of the service have the same name",
            "rename one of them");
      }
      checkDatabase(name, database);
    }
  }

  private void checkDatabase(String name, DatabaseDefinition database) {
    if (database.members().isEmpty()) {
      addViolation(
          ObjectKind.DATABASE,
          name,
          "members",
          "the database has no member",
          "declare at least one, or remove the database");
    }
    checkPositive(name, "slots", database.slots());
    checkPositive(name, "connections", database.connections());
    database.members().forEach(member -> checkMember(name, member));
  }

  private void checkPositive(String database, String field, int value) {
    if (value < 1) {
      addViolation(
          ObjectKind.DATABASE, database, field, value + " is not positive", "use 1 or more");
    }
  }

  private void checkMember(String database, MemberDefinition member) {
    String name = database + "/" + member.name();
    checkName(ObjectKind.MEMBER, name, "name", member.name());
    checkName(ObjectKind.MEMBER, name, "failureDomain", member.failureDomain());
    String other = memberByName.putIfAbsent(member.name(), name);
    if (other != null) {
      addViolation(
          ObjectKind.MEMBER,
          name,
          "name",
          "member " + other + " has the same name",
          "rename one of them; member names must be unique across all databases");
    }
    checkJdbcUrl(name, member.jdbcUrl());
    checkControlAddress(name, member.controlAddress());
  }

  private void checkJdbcUrl(String member, String url) {
    if (!url.startsWith("jdbc:")) {
      addViolation(
          ObjectKind.MEMBER,
          member,
          "jdbcUrl",
          "\"" + url + "\" is not a JDBC URL",
          "start it with \"jdbc:\"");
    }
    if (CREDENTIALS.matcher(url).find()) {
      addViolation(
          ObjectKind.MEMBER,
          member,
          "jdbcUrl",
          "the URL contains credentials",
          "remove them; the proxy uses the account in its settings");
    }
    checkUniqueAddress(member, "jdbcUrl", url);
  }

  private void checkControlAddress(String member, String address) {
    var matcher = HOST_AND_PORT.matcher(address);
    if (!matcher.matches() || !isPort(matcher.group(2))) {
      addViolation(
          ObjectKind.MEMBER,
          member,
          "controlAddress",
          "\"" + address + "\" is not a host and port",
          "write it as host:port, with a port from 1 to " + MAX_PORT);
    }
    checkUniqueAddress(member, "controlAddress", address);
  }

  private static boolean isPort(String text) {
    int port = Integer.parseInt(text);
    return port >= 1 && port <= MAX_PORT;
  }

  private void checkUniqueAddress(String member, String field, String address) {
    String other = memberByAddress.putIfAbsent(address, member);
    if (other != null) {
      addViolation(
          ObjectKind.MEMBER,
          member,
          field,
          "\"" + address + "\" is the address of " + other + " too",
          "give each member its own address");
    }
  }

  private void checkRoute(Route route) {
    checkReference(ObjectKind.ROUTE, route.name(), "service", route.service(), services);
    route
        .readRule()
        .ifPresent(
            rule -> checkReference(ObjectKind.ROUTE, route.name(), "readRule", rule, readRules));
    if (route.open() && !route.organisations().isEmpty()) {
      addViolation(
          ObjectKind.ROUTE,
          route.name(),
          "organisations",
          "the route is open and lists organisations",
          "remove the organisations, or declare the route as not open");
    }
    if (!route.open() && route.organisations().isEmpty()) {
      addViolation(
          ObjectKind.ROUTE,
          route.name(),
          "organisations",
          "the route is not open and lists no organisation",
          "list at least one organisation, or declare the route as open");
    }
    for (String organisation : route.organisations()) {
      checkReference(ObjectKind.ROUTE, route.name(), "organisations", organisation, organisations);
      checkUniqueRoute(route, organisation);
    }
    if (route.open()) {
      checkUniqueRoute(route, "");
    }
  }

  private void checkUniqueRoute(Route route, String organisation) {
    String serviceAndCaller = route.service() + "/" + organisation;
    String other = routeByServiceAndCaller.putIfAbsent(serviceAndCaller, route.name());
    if (other != null) {
      String caller = organisation.isEmpty() ? "callers without a key" : "\"" + organisation + "\"";
      addViolation(
          ObjectKind.ROUTE,
          route.name(),
          "organisations",
          "route \"" + other + "\" already routes " + caller + " to \"" + route.service() + "\"",
          "declare only one route for each organisation and service");
    }
  }

  private void checkReadRule(ReadRule rule) {
    checkDuration(ObjectKind.READ_RULE, rule.name(), "maxAge", rule.maxAge());
    checkDuration(ObjectKind.READ_RULE, rule.name(), "maxWait", rule.maxWait());
  }

  private void checkDuration(ObjectKind kind, String object, String field, Duration duration) {
    if (duration.isNegative() || duration.compareTo(MAX_READ_RULE_DURATION) > 0) {
      addViolation(kind, object, field, duration + " is out of range", "use 0s to 24h");
    }
  }

  private void checkObjective(Objective objective) {
    String name = objective.name();
    checkReference(ObjectKind.OBJECTIVE, name, "service", objective.service(), services);
    checkReference(
        ObjectKind.OBJECTIVE, name, "organisation", objective.organisation(), organisations);
    double target = objective.target();
    if (!(target > 0 && target < 1)) {
      addViolation(
          ObjectKind.OBJECTIVE,
          name,
          "target",
          target + " is not a fraction between 0 and 1",
          "use a number above 0 and below 1");
    }
    checkThreshold(objective);
  }

  private void checkThreshold(Objective objective) {
    Optional<Duration> threshold = objective.threshold();
    boolean needed = objective.indicator().needsThreshold();
    if (needed && threshold.filter(value -> !value.isNegative() && !value.isZero()).isEmpty()) {
      addViolation(
          ObjectKind.OBJECTIVE,
          objective.name(),
          "threshold",
          "the indicator " + objective.indicator() + " needs a positive threshold",
          "declare the duration above which an event counts as bad");
    }
    if (!needed && threshold.isPresent()) {
      addViolation(
          ObjectKind.OBJECTIVE,
          objective.name(),
          "threshold",
          "the indicator " + objective.indicator() + " does not use a threshold",
          "remove the threshold");
    }
  }

  private void addViolation(
      ObjectKind kind, String object, String field, String problem, String remedy) {
    violations.add(new Violation(kind, object, field, problem, remedy));
  }
}
