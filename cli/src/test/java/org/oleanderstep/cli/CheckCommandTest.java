package org.oleanderstep.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CheckCommandTest {

  @TempDir private Path directory;

  private void write(String file, String json) throws IOException {
    Files.createDirectories(directory.resolve(file).getParent());
    Files.writeString(directory.resolve(file), json);
  }

  private CommandRun check() {
    return CommandRun.of("check", directory.toString());
  }

  @ParameterizedTest
  @ValueSource(strings = {"tallerkode", "camera-oscura"})
  void should_accept_the_example_deployments(String name) {
    CommandRun run = CommandRun.of("check", "../examples/" + name);
    assertWithMessage(run.err()).that(run.exitCode()).isEqualTo(0);
    assertThat(run.out())
        .contains("8 organisations, 8 keys, 1 services, 2 routes, 1 read rules, 2 objectives");
  }

  @Nested
  class FaultsOfForm {

    // All errors are listed in one run, so that the operator need not run the command once per
    // error.
    @Test
    void should_list_all_errors_of_all_files_with_their_paths() throws Exception {
      write(
          "organisations.json",
          "{\"organisations\": [{\"name\": \"a\", \"ratePerSecnd\": 5, \"burst\": \"many\"}]}");
      write("rules/read.json", "{\"readRules\": [{\"name\": \"r\", \"maxAge\": \"200ms\"}]}");
      CommandRun run = check();
      assertThat(run.exitCode()).isEqualTo(1);
      assertThat(run.err())
          .contains(
              "organisations.json: organisations[0].ratePerSecnd: there is no such field; did you"
                  + " mean ratePerSecond?");
      assertThat(run.err()).contains("organisations[0].burst: \"many\" has the wrong form");
      assertThat(run.err())
          .contains("read.json: readRules[0].maxAge: \"200ms\" is not a duration; write seconds");
      assertThat(run.err()).contains("refused: 3 faults");
    }

    @Test
    void should_name_the_file_that_is_not_json() throws Exception {
      write("broken.json", "{\"keys\": [");
      assertThat(check().err()).contains("broken.json: the text is not a JSON object");
    }

    @Test
    void should_reject_an_unknown_indicator_and_a_missing_one() throws Exception {
      write(
          "a.json",
          "{\"objectives\": [{\"name\": \"o\", \"indicator\": \"SPEED\", \"target\": 0.9}]}");
      assertThat(check().err()).contains("objectives[0].indicator: \"SPEED\" has the wrong form");
      write("a.json", "{\"objectives\": [{\"name\": \"o\", \"target\": 0.9}]}");
      assertThat(check().err()).contains("objective \"o\": indicator: the value is missing");
    }

    @Test
    void should_reject_a_directory_without_files() {
      CommandRun run = check();
      assertThat(run.exitCode()).isEqualTo(1);
      assertThat(run.err()).contains("no file that ends with .json");
    }

    @Test
    void should_reject_a_directory_that_does_not_exist() {
      CommandRun run = CommandRun.of("check", directory.resolve("absent").toString());
      assertThat(run.exitCode()).isEqualTo(1);
      assertThat(run.err()).contains("the directory cannot be read");
    }
  }

  @Nested
  class FaultsOfObjects {

    @Test
    void should_name_file_object_field_and_remedy_of_each_broken_reference() throws Exception {
      write(
          "o.json",
          "{\"organisations\": [{\"name\": \"a\", \"ratePerSecond\": 5, \"burst\": 0.5}]}");
      write(
          "k.json",
          "{\"keys\": [{\"id\": \"k1\", \"organisation\": \"b\", \"secretSha256\": \"x\"}]}");
      write(
          "r.json",
          "{\"routes\": [{\"name\": \"r\", \"service\": \"s\", \"organisations\": [\"a\"]}]}");
      CommandRun run = check();
      assertThat(run.exitCode()).isEqualTo(1);
      assertThat(run.err()).contains("o.json: organisation \"a\": burst: 0.5 is not a valid burst");
      assertThat(run.err())
          .contains(
              "k.json: key \"k1\": organisation: \"b\" is not declared; declare it, or name one that"
                  + " is");
      assertThat(run.err()).contains("k.json: key \"k1\": secretSha256:");
      assertThat(run.err()).contains("r.json: route \"r\": service: \"s\" is not declared");
      assertThat(run.err()).contains("refused: 4 faults");
    }

    @Test
    void should_name_both_files_that_declare_the_same_object() throws Exception {
      String json = "{\"organisations\": [{\"name\": \"a\", \"ratePerSecond\": 5, \"burst\": 5}]}";
      write("one.json", json);
      write("two.json", json);
      assertThat(check().err()).contains("one.json, two.json: organisation \"a\": name:");
    }

    @Test
    void should_name_the_file_of_a_nested_member() throws Exception {
      write(
          "s.json",
          "{\"services\": [{\"name\": \"s\", \"region\": \"r\", \"databases\": [{\"name\": \"d\","
              + " \"slots\": 1, \"connections\": 5, \"members\": [{\"name\": \"m\","
              + " \"failureDomain\": \"a\", \"jdbcUrl\": \"http://x\", \"controlAddress\":"
              + " \"127.0.0.1:1\"}]}]}]}");
      assertThat(check().err())
          .contains("s.json: member \"s/d/m\": jdbcUrl: \"http://x\" is not a JDBC URL");
    }
  }

  @Test
  void should_print_refusals_as_json() throws Exception {
    write("a.json", "{\"routs\": []}");
    CommandRun run = CommandRun.of("check", directory.toString(), "--output", "json");
    assertThat(run.exitCode()).isEqualTo(1);
    assertThat(run.out()).contains("\"accepted\": false");
    assertThat(run.out()).contains("\"remedy\": \"did you mean routes?\"");
  }
}
