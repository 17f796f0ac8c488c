package org.oleanderstep.standins;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A server that is started on a picked port must not find it in use. */
final class FreePortsTest {

  private static final int FIRST_PORT_OF_OUTGOING_CONNECTIONS = 32_768;

  // A connection that was opened between the choice of a port and the start of its server took the
  // port, and the server could not listen.
  @Test
  void should_pick_no_port_that_an_outgoing_connection_may_take() {
    for (int port : FreePorts.next(50)) {
      assertThat(port).isLessThan(FIRST_PORT_OF_OUTGOING_CONNECTIONS);
    }
  }

  // Two servers that are started later must not share a port that was free at both choices.
  @Test
  void should_pick_no_port_twice() {
    List<Integer> ports = FreePorts.next(200);
    assertThat(ports).containsNoDuplicates();
  }
}
