package org.oleanderstep.core.configuration;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Valid declarations for tests, and variations that replace one kind of object. */
final class TestDeclarations {

  static final Organisation SHOP = new Organisation("shop", 100, 20);
  static final Organisation SCHOOL = new Organisation("school", 0.5, 1);
  static final Key SHOP_KEY = new Key("k1", "shop", sha256("shop secret"), false);
  static final Key SCHOOL_KEY = new Key("k2", "school", sha256("school secret"), false);
  static final MemberDefinition MEMBER_A = member("orders-a", "10.0.0.1");
  static final MemberDefinition MEMBER_B = member("orders-b", "10.0.0.2");
  static final DatabaseDefinition ORDERS =
      new DatabaseDefinition("orders", List.of(MEMBER_A, MEMBER_B), 2, 16);
  static final Service SERVICE = new Service("main", "pe-central", List.of(ORDERS));
  static final Route ROUTE =
      new Route("shop-main", "main", List.of("shop"), false, true, Optional.of("stale"));
  static final Route OPEN_ROUTE =
      new Route("open-main", "main", List.of(), true, false, Optional.empty());
  static final ReadRule RULE = new ReadRule("stale", Duration.ofSeconds(2), Duration.ofMillis(20));
  static final Objective OBJECTIVE =
      new Objective(
          "fast",
          "main",
          "shop",
          Objective.Indicator.LATENCY,
          0.99,
          Optional.of(Duration.ofMillis(50)));
  static final Declarations VALID =
      new Declarations(
          List.of(SHOP, SCHOOL),
          List.of(SHOP_KEY, SCHOOL_KEY),
          List.of(SERVICE),
          List.of(ROUTE, OPEN_ROUTE),
          List.of(RULE),
          List.of(OBJECTIVE));

  private TestDeclarations() {}

  static String sha256(String secret) {
    return KeyVerifier.sha256(secret.getBytes(StandardCharsets.UTF_8));
  }

  static MemberDefinition member(String name, String host) {
    return new MemberDefinition(
        name, "a", "jdbc:avatica:remote:url=http://" + host + ":8765", host + ":9000");
  }

  static Configuration configuration(long generation, Declarations declarations) {
    return new Configuration(generation, "p" + generation, Instant.EPOCH, declarations);
  }

  static Declarations withOrganisations(Organisation... items) {
    return new Declarations(
        List.of(items),
        VALID.keys(),
        VALID.services(),
        VALID.routes(),
        VALID.readRules(),
        VALID.objectives());
  }

  static Declarations withKeys(Key... items) {
    return new Declarations(
        VALID.organisations(),
        List.of(items),
        VALID.services(),
        VALID.routes(),
        VALID.readRules(),
        VALID.objectives());
  }

  static Declarations withServices(Service... items) {
    return new Declarations(
        VALID.organisations(),
        VALID.keys(),
        List.of(items),
        VALID.routes(),
        VALID.readRules(),
        VALID.objectives());
  }

  static Declarations withDatabase(UnaryOperator<DatabaseDefinition> change) {
    return withServices(new Service("main", "pe-central", List.of(change.apply(ORDERS))));
  }

  static Declarations withMembers(MemberDefinition... items) {
    return withDatabase(database -> new DatabaseDefinition("orders", List.of(items), 2, 16));
  }

  static Declarations withRoutes(Route... items) {
    return new Declarations(
        VALID.organisations(),
        VALID.keys(),
        VALID.services(),
        List.of(items),
        VALID.readRules(),
        VALID.objectives());
  }

  static Declarations withReadRules(ReadRule... items) {
    return new Declarations(
        VALID.organisations(),
        VALID.keys(),
        VALID.services(),
        VALID.routes(),
        List.of(items),
        VALID.objectives());
  }

  static Declarations withObjectives(Objective... items) {
    return new Declarations(
        VALID.organisations(),
        VALID.keys(),
        VALID.services(),
        VALID.routes(),
        VALID.readRules(),
        List.of(items));
  }
}
