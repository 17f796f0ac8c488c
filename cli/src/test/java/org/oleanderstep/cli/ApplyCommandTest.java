package org.oleanderstep.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.RetrySettings;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.schema.v1.PublishedConfiguration;
import org.oleanderstep.standins.platform.PlatformServer;

class ApplyCommandTest {

  @TempDir private Path directory;
  private PlatformServer platform;

  @BeforeEach
  void startPlatform() {
    platform =
        PlatformServer.start(PlatformSettings.newBuilder().setAddress("127.0.0.1:0").build());
  }

  @AfterEach
  void stopPlatform() {
    platform.close();
  }

  private Path organisations(String name, String... names) throws IOException {
    Path set = Files.createDirectories(directory.resolve(name));
    List<String> objects = new ArrayList<>();
    for (String organisation : names) {
      objects.add("{\"name\": \"" + organisation + "\", \"ratePerSecond\": 5, \"burst\": 5}");
    }
    Files.writeString(
        set.resolve("organisations.json"),
        "{\"organisations\": [" + String.join(", ", objects) + "]}");
    return set;
  }

  private CommandRun apply(Path set, String... more) {
    List<String> args =
        new ArrayList<>(List.of("apply", set.toString(), "--platform", platform.url().toString()));
    args.addAll(List.of(more));
    return CommandRun.of(args.toArray(String[]::new));
  }

  private PublishedConfiguration published() {
    PlatformClient client =
        new PlatformClient(
            platform.url(), Duration.ofSeconds(2), RetrySettings.INTERACTIVE, "test");
    return new ConfigurationStore(client, InstantSource.system())
        .read()
        .join()
        .orElseThrow()
        .configuration();
  }

  @Test
  void should_publish_generations_in_sequence_and_name_the_changes() throws Exception {
    CommandRun first = apply(organisations("one", "a", "b"));
    CommandRun second = apply(organisations("two", "b", "c"));
    assertWithMessage(first.err()).that(first.exitCode()).isEqualTo(0);
    assertThat(first.out()).contains("published generation 1");
    assertThat(second.out())
        .isEqualTo(
            "- organisation \"a\"\n+ organisation \"c\"\npublished generation 2\n"
                .replace("\n", System.lineSeparator()));
    assertThat(published().getGeneration()).isEqualTo(2);
  }

  @Test
  void should_not_publish_unchanged_declarations_again() throws Exception {
    Path set = organisations("one", "a");
    apply(set);
    assertThat(apply(set).out()).contains("generation 1 has the same objects already");
    assertThat(published().getGeneration()).isEqualTo(1);
  }

  @Test
  void should_not_publish_any_object_of_rejected_declarations() throws Exception {
    CommandRun run = apply(organisations("one", "a", "a"));
    assertThat(run.exitCode()).isEqualTo(1);
    assertThat(platform.stats().getUpdates()).isEqualTo(0);
  }

  // If the command mistook its own update for a conflict, the operator would apply it twice.
  @Test
  void should_detect_that_an_update_took_effect_although_its_response_was_lost() throws Exception {
    apply(organisations("one", "a"));
    platform.setFaults(PlatformFaults.newBuilder().setLoseAnswers(1).build());
    CommandRun run = apply(organisations("two", "b"));
    assertWithMessage(run.err()).that(run.exitCode()).isEqualTo(0);
    assertThat(run.out()).contains("published generation 2");
    assertThat(published().getGeneration()).isEqualTo(2);
  }

  @Test
  void should_refuse_to_publish_over_a_generation_that_the_operator_has_not_seen()
      throws Exception {
    apply(organisations("one", "a"));
    apply(organisations("two", "a", "b"));
    CommandRun run = apply(organisations("three", "a"), "--expect-generation", "1");
    assertThat(run.exitCode()).isEqualTo(3);
    assertThat(run.err()).contains("+ organisation \"b\"");
    assertThat(published().getGeneration()).isEqualTo(2);
  }

  // If the declarations of two operators were mixed, both operators would assume that their own are
  // current.
  @Test
  void
      should_publish_the_declarations_of_one_concurrent_operator_and_report_a_conflict_to_the_others()
          throws Exception {
    int operators = 6;
    for (int round = 0; round < 5; round++) {
      long base = round == 0 ? 0 : published().getGeneration();
      List<Path> sets = new ArrayList<>();
      for (int i = 0; i < operators; i++) {
        sets.add(organisations("r" + round + "-" + i, "first-" + i, "second-" + i, "x" + round));
      }
      CyclicBarrier start = new CyclicBarrier(operators);
      List<CompletableFuture<CommandRun>> runs =
          sets.stream()
              .map(
                  set ->
                      CompletableFuture.supplyAsync(
                          () -> {
                            await(start);
                            return apply(set, "--expect-generation", String.valueOf(base));
                          },
                          command -> new Thread(command).start()))
              .toList();
      List<CommandRun> results = runs.stream().map(CompletableFuture::join).toList();
      assertThat(results.stream().filter(r -> r.exitCode() == 0)).hasSize(1);
      for (CommandRun result : results) {
        if (result.exitCode() != 0) {
          assertThat(result.exitCode()).isEqualTo(3);
          assertThat(result.err()).contains("conflict: generation " + (base + 1));
        }
      }
      Declarations set = published().getDeclarations();
      assertThat(set.getOrganisationsCount()).isEqualTo(3);
      String winner = set.getOrganisations(0).getName().substring("first-".length());
      assertThat(set.getOrganisations(1).getName()).isEqualTo("second-" + winner);
    }
  }

  @Test
  void should_report_that_the_platform_does_not_respond() throws Exception {
    URI unused = platform.url();
    platform.close();
    CommandRun run =
        CommandRun.of(
            "diff",
            organisations("one", "a").toString(),
            "--platform",
            unused.toString(),
            "--wait",
            "0");
    assertThat(run.exitCode()).isEqualTo(4);
    assertThat(run.err()).contains("the platform did not answer");
  }

  @Test
  void should_show_differences_without_publishing() throws Exception {
    apply(organisations("one", "a"));
    CommandRun run =
        CommandRun.of(
            "diff",
            organisations("two", "a", "b").toString(),
            "--platform",
            platform.url().toString(),
            "--output",
            "json");
    assertThat(run.exitCode()).isEqualTo(0);
    assertThat(run.out()).contains("\"change\": \"ADDED\"");
    assertThat(platform.stats().getUpdates()).isEqualTo(1);
  }

  private static void await(CyclicBarrier barrier) {
    try {
      barrier.await();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
