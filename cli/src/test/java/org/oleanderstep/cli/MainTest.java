package org.oleanderstep.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "proxy",
        "check",
        "apply",
        "diff",
        "status",
        "drain",
        "failover",
        "version",
        "keys issue",
        "keys withdraw"
      })
  void should_show_an_example_in_the_help_of_each_command(String command) {
    CommandRun run = CommandRun.of((command + " --help").split(" "));
    assertThat(run.exitCode()).isEqualTo(0);
    assertWithMessage(run.out()).that(run.out()).contains("EXAMPLES");
    assertThat(run.out()).contains("oleanderstep " + command);
    assertThat(run.out()).contains("Exit codes: 0 done");
  }

  @Test
  void should_reject_unknown_commands_and_options_with_the_usage_exit_code() {
    assertThat(CommandRun.of("aply").exitCode()).isEqualTo(2);
    assertThat(CommandRun.of("check", "x", "--fast").exitCode()).isEqualTo(2);
    assertThat(CommandRun.of("check").exitCode()).isEqualTo(2);
    assertThat(CommandRun.of("check", "x", "--output", "yaml").exitCode()).isEqualTo(2);
  }

  @Test
  void should_print_the_version_of_the_build() {
    assertThat(CommandRun.of("version").out().strip()).matches("\\d+\\.\\d+\\.\\d+.*");
  }
}
