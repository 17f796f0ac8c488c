package org.oleanderstep.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.core.configuration.KeyVerifier;

class KeysCommandTest {

  @TempDir private Path directory;

  @BeforeEach
  void declareOrganisation() throws IOException {
    Files.writeString(
        directory.resolve("organisations.json"),
        "{\"organisations\": [{\"name\": \"a\", \"ratePerSecond\": 5, \"burst\": 5}]}");
  }

  private static String group(String text, String pattern) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    assertWithMessage(text).that(matcher.find()).isTrue();
    return matcher.group(1);
  }

  private String allFiles() throws IOException {
    StringBuilder text = new StringBuilder();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        text.append(Files.readString(file));
      }
    }
    return text.toString();
  }

  // A secret in a file would be published with the declarations, or be committed to a repository.
  @Test
  void should_print_the_secret_once_and_write_only_its_hash() throws Exception {
    CommandRun run = CommandRun.of("keys", "issue", directory.toString(), "--organisation", "a");
    assertWithMessage(run.err()).that(run.exitCode()).isEqualTo(0);
    String secret = group(run.out(), "secret: (\\S+)");
    assertThat(secret.length()).isAtLeast(43);
    assertThat(allFiles()).doesNotContain(secret);
    assertThat(allFiles()).contains(KeyVerifier.sha256(secret.getBytes(StandardCharsets.UTF_8)));
    assertThat(CommandRun.of("check", directory.toString()).exitCode()).isEqualTo(0);
  }

  @Test
  void should_mark_a_key_as_withdrawn_in_its_file() throws Exception {
    CommandRun issued = CommandRun.of("keys", "issue", directory.toString(), "--organisation", "a");
    String id = group(issued.out(), "key id: (\\S+)");
    CommandRun run = CommandRun.of("keys", "withdraw", directory.toString(), "--id", id);
    assertWithMessage(run.err()).that(run.exitCode()).isEqualTo(0);
    assertThat(allFiles()).contains("\"withdrawn\": true");
    assertThat(CommandRun.of("check", directory.toString()).exitCode()).isEqualTo(0);
  }

  @Test
  void should_reject_unknown_organisations_and_keys() {
    CommandRun issue = CommandRun.of("keys", "issue", directory.toString(), "--organisation", "b");
    assertThat(issue.exitCode()).isEqualTo(1);
    assertThat(issue.err()).contains("organisation \"b\" is not declared");
    CommandRun withdraw = CommandRun.of("keys", "withdraw", directory.toString(), "--id", "x");
    assertThat(withdraw.exitCode()).isEqualTo(1);
    assertThat(withdraw.err()).contains("declares the key x");
  }
}
