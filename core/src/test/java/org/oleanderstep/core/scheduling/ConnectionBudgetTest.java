package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;

class ConnectionBudgetTest {

  private static final OrganisationId A = new OrganisationId("a");
  private static final OrganisationId B = new OrganisationId("b");

  // Rounding up would let all VMs together exceed the member's limit.
  @Test
  void should_round_the_share_of_a_vm_down() {
    assertThat(new ConnectionBudget(16, 5).maxConnections()).isEqualTo(3);
    assertThat(new ConnectionBudget(35, 5).maxConnections()).isEqualTo(7);
  }

  @Test
  void should_give_each_vm_at_least_one_connection() {
    assertThat(new ConnectionBudget(3, 5).maxConnections()).isEqualTo(1);
  }

  @Test
  void should_reserve_half_of_the_budget_for_other_organisations_that_wait() {
    ConnectionBudget budget = new ConnectionBudget(35, 5);
    for (int i = 0; i < 3; i++) {
      assertThat(budget.tryAcquire(A, true)).isTrue();
    }
    assertThat(budget.tryAcquire(A, true)).isFalse();
    assertThat(budget.tryAcquire(A, false)).isTrue();
    assertThat(budget.tryAcquire(B, true)).isTrue();
  }

  @Test
  void should_grant_no_connection_above_the_budget() {
    ConnectionBudget budget = new ConnectionBudget(10, 5);
    assertThat(budget.tryAcquire(A, false)).isTrue();
    assertThat(budget.tryAcquire(A, false)).isTrue();
    assertThat(budget.tryAcquire(B, true)).isFalse();
    budget.release(A);
    assertThat(budget.tryAcquire(B, true)).isTrue();
    assertThat(budget.inUse()).isEqualTo(2);
  }

  @Test
  void should_grant_nothing_until_connections_above_a_smaller_budget_are_released() {
    ConnectionBudget budget = new ConnectionBudget(10, 5);
    budget.tryAcquire(A, false);
    budget.tryAcquire(A, false);
    budget.resize(10, 10);
    assertThat(budget.mayAcquire(B, true)).isFalse();
    budget.release(A);
    assertThat(budget.mayAcquire(B, true)).isFalse();
    budget.release(A);
    assertThat(budget.mayAcquire(B, true)).isTrue();
  }

  @Test
  void should_fail_when_an_organisation_without_connections_releases_one() {
    ConnectionBudget budget = new ConnectionBudget(10, 5);
    budget.tryAcquire(A, false);
    assertThrows(IllegalStateException.class, () -> budget.release(B));
  }
}
