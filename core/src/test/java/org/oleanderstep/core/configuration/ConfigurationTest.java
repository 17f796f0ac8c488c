package org.oleanderstep.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.oleanderstep.core.configuration.TestDeclarations.MEMBER_A;
import static org.oleanderstep.core.configuration.TestDeclarations.MEMBER_B;
import static org.oleanderstep.core.configuration.TestDeclarations.SCHOOL_KEY;
import static org.oleanderstep.core.configuration.TestDeclarations.SHOP_KEY;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;

class ConfigurationTest {

  private final Configuration configuration =
      TestDeclarations.configuration(1, TestDeclarations.VALID);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Nested
  class LookUps {

    @Test
    void should_find_objects_by_name() {
      assertThat(configuration.key("k1")).hasValue(SHOP_KEY);
      assertThat(configuration.database(new DatabaseId("main", "orders")))
          .hasValue(TestDeclarations.ORDERS);
      assertThat(configuration.member(new MemberId("orders-a"))).hasValue(MEMBER_A);
      assertThat(configuration.databaseOf(new MemberId("orders-b")))
          .hasValue(new DatabaseId("main", "orders"));
      assertThat(configuration.member(new MemberId("other"))).isEmpty();
    }

    @Test
    void should_prefer_the_route_that_lists_the_organisation_to_the_open_one() {
      assertThat(configuration.route("main", new OrganisationId("shop")))
          .hasValue(TestDeclarations.ROUTE);
      assertThat(configuration.route("main", new OrganisationId("school")))
          .hasValue(TestDeclarations.OPEN_ROUTE);
      assertThat(configuration.openRoute("main")).hasValue(TestDeclarations.OPEN_ROUTE);
      assertThat(configuration.route("other", new OrganisationId("shop"))).isEmpty();
    }

    // Invalid declarations must never come into force, even if the publisher did not validate them.
    @Test
    void should_reject_invalid_declarations() {
      Declarations invalid = TestDeclarations.withOrganisations(TestDeclarations.SHOP);
      assertThrows(
          IllegalArgumentException.class, () -> TestDeclarations.configuration(1, invalid));
    }
  }

  @Nested
  class Keys {

    @Test
    void should_accept_the_secret_of_a_key_for_its_organisation() {
      KeyVerification result = KeyVerifier.verify(configuration, "k1", bytes("shop secret"));
      assertThat(result.status()).isEqualTo(KeyStatus.ACCEPTED);
      assertThat(result.organisation()).hasValue(new OrganisationId("shop"));
    }

    @Test
    void should_distinguish_unknown_wrong_and_withdrawn_keys() {
      Key withdrawn = new Key("k1", "shop", SHOP_KEY.secretSha256(), true);
      Configuration next =
          TestDeclarations.configuration(2, TestDeclarations.withKeys(withdrawn, SCHOOL_KEY));
      assertThat(KeyVerifier.verify(next, "k9", bytes("shop secret")).status())
          .isEqualTo(KeyStatus.UNKNOWN);
      assertThat(KeyVerifier.verify(next, "k2", bytes("shop secret")).status())
          .isEqualTo(KeyStatus.WRONG);
      assertThat(KeyVerifier.verify(next, "k1", bytes("shop secret")).status())
          .isEqualTo(KeyStatus.WITHDRAWN);
    }

    // Callers without the secret of a key must not learn that it is withdrawn.
    @Test
    void should_report_a_wrong_secret_of_a_withdrawn_key_as_wrong() {
      Key withdrawn = new Key("k1", "shop", SHOP_KEY.secretSha256(), true);
      Configuration next = TestDeclarations.configuration(2, TestDeclarations.withKeys(withdrawn));
      assertThat(KeyVerifier.verify(next, "k1", bytes("guess")).status())
          .isEqualTo(KeyStatus.WRONG);
    }

    // SHA-256 of "abc" from FIPS 180-4.
    @Test
    void should_hash_with_sha_256() {
      assertThat(KeyVerifier.sha256(bytes("abc")))
          .isEqualTo("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    }
  }

  @Nested
  class Adopting {

    private final ConfigurationAdopter adopter = new ConfigurationAdopter();

    @Test
    void should_adopt_only_higher_generations() {
      assertThat(adopter.offer(TestDeclarations.configuration(3, TestDeclarations.VALID)))
          .isInstanceOf(AdoptionResult.Adopted.class);
      assertThat(adopter.offer(TestDeclarations.configuration(2, TestDeclarations.VALID)))
          .isEqualTo(new AdoptionResult.Outdated(3, 2));
      assertThat(adopter.offer(TestDeclarations.configuration(3, TestDeclarations.VALID)))
          .isEqualTo(new AdoptionResult.AlreadyCurrent());
      assertThat(adopter.generation()).isEqualTo(3);
    }

    // Two publications of one generation mean that one operator overwrote the other's.
    @Test
    void should_report_another_publication_of_the_same_generation() {
      adopter.offer(TestDeclarations.configuration(3, TestDeclarations.VALID));
      Configuration other = new Configuration(3, "other", Instant.EPOCH, TestDeclarations.VALID);
      assertThat(adopter.offer(other)).isEqualTo(new AdoptionResult.Conflict(3, "p3", "other"));
      assertThat(adopter.current().orElseThrow().publicationId()).isEqualTo("p3");
    }

    @Test
    void should_be_behind_a_session_that_has_seen_a_higher_generation() {
      assertThat(adopter.isBehind(1)).isTrue();
      adopter.offer(configuration);
      assertThat(adopter.isBehind(1)).isFalse();
      assertThat(adopter.isBehind(2)).isTrue();
    }

    private ConfigurationDiff diff(Declarations next) {
      adopter.offer(configuration);
      AdoptionResult adoption = adopter.offer(TestDeclarations.configuration(2, next));
      return ((AdoptionResult.Adopted) adoption).diff();
    }

    // Open transactions of these keys are rolled back, so every way to lose a key must be reported.
    @Test
    void should_report_keys_that_are_no_longer_accepted() {
      Key moved = new Key("k1", "school", SHOP_KEY.secretSha256(), false);
      assertThat(diff(TestDeclarations.withKeys(moved)).keysWithdrawn())
          .containsExactly("k1", "k2");
    }

    @Test
    void should_report_a_key_with_another_secret_as_withdrawn_and_added() {
      Key changed = new Key("k1", "shop", SCHOOL_KEY.secretSha256(), false);
      ConfigurationDiff diff = diff(TestDeclarations.withKeys(changed, SCHOOL_KEY));
      assertThat(diff.keysWithdrawn()).containsExactly("k1");
      assertThat(diff.keysAdded()).containsExactly("k1");
    }

    @Test
    void should_report_changed_members_and_their_database() {
      ConfigurationDiff diff =
          diff(
              TestDeclarations.withMembers(
                  new MemberDefinition(
                      "orders-a", "b", MEMBER_A.jdbcUrl(), MEMBER_A.controlAddress()),
                  TestDeclarations.member("orders-c", "10.0.0.3")));
      assertThat(diff.membersAdded()).containsExactly(new MemberId("orders-c"));
      assertThat(diff.membersRemoved()).containsExactly(MEMBER_B.id());
      assertThat(diff.membersChanged()).containsExactly(MEMBER_A.id());
      assertThat(diff.databasesChanged()).containsExactly(new DatabaseId("main", "orders"));
    }

    @Test
    void should_report_organisations_with_another_rate_but_not_unchanged_routes() {
      ConfigurationDiff diff =
          diff(
              TestDeclarations.withOrganisations(
                  new Organisation("shop", 101, 20), TestDeclarations.SCHOOL));
      assertThat(diff.organisationsChanged()).containsExactly(new OrganisationId("shop"));
      assertThat(diff.routesChanged()).isEmpty();
      assertThat(diff.keysWithdrawn()).isEmpty();
    }
  }
}
