package org.oleanderstep.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.core.configuration.TestDeclarations.MEMBER_A;
import static org.oleanderstep.core.configuration.TestDeclarations.OPEN_ROUTE;
import static org.oleanderstep.core.configuration.TestDeclarations.ORDERS;
import static org.oleanderstep.core.configuration.TestDeclarations.ROUTE;
import static org.oleanderstep.core.configuration.TestDeclarations.RULE;
import static org.oleanderstep.core.configuration.TestDeclarations.SCHOOL;
import static org.oleanderstep.core.configuration.TestDeclarations.SCHOOL_KEY;
import static org.oleanderstep.core.configuration.TestDeclarations.SERVICE;
import static org.oleanderstep.core.configuration.TestDeclarations.SHOP;
import static org.oleanderstep.core.configuration.TestDeclarations.SHOP_KEY;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationCheckerTest {

  @Test
  void should_accept_valid_declarations() {
    assertThat(ConfigurationChecker.check(TestDeclarations.VALID)).isEmpty();
  }

  private static Arguments fault(
      Declarations declarations, ObjectKind kind, String object, String field) {
    return Arguments.of(declarations, kind, object, field);
  }

  static Stream<Arguments> faults() {
    return Stream.of(
            organisations(), keys(), databases(), members(), routes(), readRules(), objectives())
        .flatMap(faults -> faults);
  }

  private static Stream<Arguments> organisations() {
    return Stream.of(
            new Organisation("shop", -1, 20),
            new Organisation("shop", Double.NaN, 20),
            new Organisation("shop", Double.POSITIVE_INFINITY, 20),
            new Organisation("shop", 1e-9, 20),
            new Organisation("shop", 1e9, 20))
        .map(
            shop ->
                fault(
                    TestDeclarations.withOrganisations(shop, SCHOOL),
                    ObjectKind.ORGANISATION,
                    "shop",
                    "ratePerSecond"));
  }

  private static Stream<Arguments> keys() {
    ObjectKind key = ObjectKind.KEY;
    String digest = SHOP_KEY.secretSha256();
    return Stream.of(
        fault(
            TestDeclarations.withOrganisations(new Organisation("shop", 1, 0.9), SCHOOL),
            ObjectKind.ORGANISATION,
            "shop",
            "burst"),
        fault(
            TestDeclarations.withOrganisations(new Organisation("shop", 1, Double.NaN), SCHOOL),
            ObjectKind.ORGANISATION,
            "shop",
            "burst"),
        fault(
            TestDeclarations.withOrganisations(SHOP, SCHOOL, SHOP),
            ObjectKind.ORGANISATION,
            "shop",
            "name"),
        fault(TestDeclarations.withKeys(SHOP_KEY, SHOP_KEY), key, "k1", "id"),
        fault(TestDeclarations.withKeys(new Key("K 1", "shop", digest, false)), key, "K 1", "id"),
        fault(TestDeclarations.withKeys(new Key("", "shop", digest, false)), key, "", "id"),
        fault(
            TestDeclarations.withKeys(new Key("k", "nobody", digest, false)),
            key,
            "k",
            "organisation"),
        fault(
            TestDeclarations.withKeys(new Key("k", "shop", "secret", false)),
            key,
            "k",
            "secretSha256"),
        fault(
            TestDeclarations.withKeys(new Key("k", "shop", digest.substring(1) + "G", false)),
            key,
            "k",
            "secretSha256"));
  }

  private static Stream<Arguments> databases() {
    ObjectKind kind = ObjectKind.DATABASE;
    List<MemberDefinition> members = List.of(MEMBER_A);
    return Stream.of(
        fault(
            TestDeclarations.withServices(new Service("main", "pe-central", List.of())),
            ObjectKind.SERVICE,
            "main",
            "databases"),
        fault(
            TestDeclarations.withServices(new Service("main", "", List.of(ORDERS))),
            ObjectKind.SERVICE,
            "main",
            "region"),
        fault(
            TestDeclarations.withDatabase(db -> new DatabaseDefinition("orders", List.of(), 2, 16)),
            kind,
            "main/orders",
            "members"),
        fault(
            TestDeclarations.withDatabase(db -> new DatabaseDefinition("orders", members, 0, 16)),
            kind,
            "main/orders",
            "slots"),
        fault(
            TestDeclarations.withDatabase(db -> new DatabaseDefinition("orders", members, 2, -1)),
            kind,
            "main/orders",
            "connections"),
        fault(
            TestDeclarations.withServices(
                new Service(
                    "main",
                    "pe-central",
                    List.of(
                        ORDERS,
                        new DatabaseDefinition(
                            "orders", List.of(TestDeclarations.member("x", "10.0.0.9")), 2, 16)))),
            kind,
            "main/orders",
            "name"));
  }

  private static Stream<Arguments> members() {
    ObjectKind kind = ObjectKind.MEMBER;
    String url = "jdbc:avatica:remote:url=http://10.0.0.7:8765";
    String address = "10.0.0.7:9000";
    return Stream.of(
        fault(
            TestDeclarations.withMembers(MEMBER_A, TestDeclarations.member("orders-a", "10.0.0.2")),
            kind,
            "main/orders/orders-a",
            "name"),
        fault(
            TestDeclarations.withMembers(MEMBER_A, member("m", MEMBER_A.jdbcUrl(), address)),
            kind,
            "main/orders/m",
            "jdbcUrl"),
        fault(
            TestDeclarations.withMembers(MEMBER_A, member("m", url, MEMBER_A.controlAddress())),
            kind,
            "main/orders/m",
            "controlAddress"),
        fault(
            TestDeclarations.withMembers(member("m", "http://10.0.0.7", address)),
            kind,
            "main/orders/m",
            "jdbcUrl"),
        fault(
            TestDeclarations.withMembers(member("m", url + ";avatica_user=x", address)),
            kind,
            "main/orders/m",
            "jdbcUrl"),
        fault(
            TestDeclarations.withMembers(member("m", "jdbc:pg://u:p@h/db", address)),
            kind,
            "main/orders/m",
            "jdbcUrl"),
        fault(
            TestDeclarations.withMembers(member("m", url, "10.0.0.7")),
            kind,
            "main/orders/m",
            "controlAddress"),
        fault(
            TestDeclarations.withMembers(member("m", url, "10.0.0.7:70000")),
            kind,
            "main/orders/m",
            "controlAddress"),
        fault(
            TestDeclarations.withMembers(member("M!", url, address)),
            kind,
            "main/orders/M!",
            "name"));
  }

  private static MemberDefinition member(String name, String url, String address) {
    return new MemberDefinition(name, "a", url, address);
  }

  private static Stream<Arguments> routes() {
    ObjectKind kind = ObjectKind.ROUTE;
    Optional<String> none = Optional.empty();
    return Stream.of(
        fault(
            TestDeclarations.withRoutes(
                new Route("r", "other", List.of("shop"), false, false, none)),
            kind,
            "r",
            "service"),
        fault(
            TestDeclarations.withRoutes(
                new Route("r", "main", List.of("nobody"), false, false, none)),
            kind,
            "r",
            "organisations"),
        fault(
            TestDeclarations.withRoutes(new Route("r", "main", List.of("shop"), true, false, none)),
            kind,
            "r",
            "organisations"),
        fault(
            TestDeclarations.withRoutes(new Route("r", "main", List.of(), false, false, none)),
            kind,
            "r",
            "organisations"),
        fault(
            TestDeclarations.withRoutes(
                new Route("r", "main", List.of("shop"), false, false, Optional.of("x"))),
            kind,
            "r",
            "readRule"),
        fault(
            TestDeclarations.withRoutes(
                ROUTE, new Route("r", "main", List.of("shop"), false, false, none)),
            kind,
            "r",
            "organisations"),
        fault(
            TestDeclarations.withRoutes(
                OPEN_ROUTE, new Route("r", "main", List.of(), true, false, none)),
            kind,
            "r",
            "organisations"),
        fault(
            TestDeclarations.withRoutes(
                ROUTE, new Route("shop-main", "main", List.of("school"), false, false, none)),
            kind,
            "shop-main",
            "name"));
  }

  private static Stream<Arguments> readRules() {
    ObjectKind kind = ObjectKind.READ_RULE;
    Duration valid = Duration.ofMillis(1);
    return Stream.of(
        fault(
            TestDeclarations.withReadRules(RULE, new ReadRule("r", Duration.ofMillis(-1), valid)),
            kind,
            "r",
            "maxAge"),
        fault(
            TestDeclarations.withReadRules(RULE, new ReadRule("r", valid, Duration.ofHours(25))),
            kind,
            "r",
            "maxWait"),
        fault(TestDeclarations.withReadRules(RULE, RULE), kind, "stale", "name"));
  }

  private static Stream<Arguments> objectives() {
    ObjectKind kind = ObjectKind.OBJECTIVE;
    return Stream.of(
        fault(objective("main", "shop", 0, 5), kind, "o", "target"),
        fault(objective("main", "shop", 1, 5), kind, "o", "target"),
        fault(objective("main", "shop", Double.NaN, 5), kind, "o", "target"),
        fault(objective("other", "shop", 0.9, 5), kind, "o", "service"),
        fault(objective("main", "nobody", 0.9, 5), kind, "o", "organisation"),
        fault(objective("main", "shop", 0.9, 0), kind, "o", "threshold"),
        fault(
            TestDeclarations.withObjectives(
                new Objective(
                    "o",
                    "main",
                    "shop",
                    Objective.Indicator.AVAILABILITY,
                    0.9,
                    Optional.of(Duration.ofMillis(1)))),
            kind,
            "o",
            "threshold"));
  }

  private static Declarations objective(
      String service, String organisation, double target, long thresholdMillis) {
    return TestDeclarations.withObjectives(
        new Objective(
            "o",
            service,
            organisation,
            Objective.Indicator.FAILOVER_GAP,
            target,
            Optional.of(Duration.ofMillis(thresholdMillis))));
  }

  // Each fault must be reported exactly once, with its object, its field and a remedy.
  @ParameterizedTest
  @MethodSource("faults")
  void should_report_a_fault_with_its_object_and_field(
      Declarations declarations, ObjectKind kind, String object, String field) {
    List<Violation> violations = ConfigurationChecker.check(declarations);
    assertThat(violations).hasSize(1);
    assertThat(violations.get(0).objectKind()).isEqualTo(kind);
    assertThat(violations.get(0).objectName()).isEqualTo(object);
    assertThat(violations.get(0).field()).isEqualTo(field);
    assertThat(violations.get(0).remedy()).isNotEmpty();
  }

  // An operator must not have to correct one fault to see the next.
  @Test
  void should_report_all_faults_at_once() {
    Declarations declarations =
        new Declarations(
            List.of(new Organisation("shop", -1, 0)),
            List.of(new Key("k", "nobody", "x", false), SCHOOL_KEY),
            List.of(SERVICE),
            List.of(),
            List.of(),
            List.of());
    assertThat(ConfigurationChecker.check(declarations)).hasSize(5);
  }
}
