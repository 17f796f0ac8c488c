package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;

class ConnectionBudgetTest {

  private static final OrganisationId A = new OrganisationId("a");
  private static final OrganisationId B = new OrganisationId("b");

  // The sum over all VMs must not exceed the member's limit.
  @Test
  void should_round_the_part_of_a_vm_down() {
    assertThat(new ConnectionBudget(16, 5).connections()).isEqualTo(3);
    assertThat(new ConnectionBudget(35, 5).connections()).isEqualTo(7);
  }

  @Test
  void should_give_each_vm_at_least_one_connection() {
    assertThat(new ConnectionBudget(3, 5).connections()).isEqualTo(1);
  }

  @Test
  void should_leave_half_to_others_while_they_wait() {
    ConnectionBudget budget = new ConnectionBudget(35, 5);
    for (int i = 0; i < 3; i++) {
      assertThat(budget.tryAcquire(A, true)).isTrue();
    }
    assertThat(budget.tryAcquire(A, true)).isFalse();
    assertThat(budget.tryAcquire(A, false)).isTrue();
    assertThat(budget.tryAcquire(B, true)).isTrue();
  }

  @Test
  void should_give_nothing_above_the_budget() {
    ConnectionBudget budget = new ConnectionBudget(10, 5);
    assertThat(budget.tryAcquire(A, false)).isTrue();
    assertThat(budget.tryAcquire(A, false)).isTrue();
    assertThat(budget.tryAcquire(B, true)).isFalse();
    budget.release(A);
    assertThat(budget.tryAcquire(B, true)).isTrue();
    assertThat(budget.inUse()).isEqualTo(2);
  }

  @Test
  void should_let_connections_above_a_smaller_budget_end_by_themselves() {
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
  void should_fail_when_more_is_released_than_held() {
    ConnectionBudget budget = new ConnectionBudget(10, 5);
    budget.tryAcquire(A, false);
    assertThrows(IllegalStateException.class, () -> budget.release(B));
  }
}
