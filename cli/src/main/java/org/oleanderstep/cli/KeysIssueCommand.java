package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.OptionalLong;
import org.oleanderstep.core.configuration.KeyVerifier;
import org.oleanderstep.schema.v1.Key;

/** Creates a key, and declares it by the hash of its secret. */
@Command(
    name = "issue",
    description =
        "Declares a new key of an organisation and prints its secret, which is stored nowhere.")
@Examples(
    examples = "oleanderstep keys issue examples/tallerkode --organisation taller-quispe",
    descriptions =
        "Writes the hash to a new file in the directory; with --platform it also applies the"
            + " directory.")
public final class KeysIssueCommand implements CliCommand {

  private static final int SECRET_BYTES = 32;
  private static final int ID_BYTES = 5;

  @AirlineModule private DirectoryArgument directory = new DirectoryArgument();
  @AirlineModule private PlatformOptions platform = new PlatformOptions();
  @AirlineModule private OutputOptions output = new OutputOptions();

  @Option(name = "--organisation", title = "NAME", description = "organisation of the key")
  @Required
  private String organisation;

  @Override
  public ExitCode run(Console console) {
    requireOrganisation();
    SecureRandom random = new SecureRandom();
    byte[] secretBytes = new byte[SECRET_BYTES];
    random.nextBytes(secretBytes);
    String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(secretBytes);
    byte[] idBytes = new byte[ID_BYTES];
    random.nextBytes(idBytes);
    String id = "k-" + HexFormat.of().formatHex(idBytes);
    Key key =
        Key.newBuilder()
            .setId(id)
            .setOrganisation(organisation)
            .setSecretSha256(KeyVerifier.sha256(secret.getBytes(StandardCharsets.UTF_8)))
            .build();
    Path file = new KeyFiles(directory.path()).add(key);
    if (output.json()) {
      console
          .out()
          .println(
              Json.object().with("id", id).with("secret", secret).with("file", file.toString()));
    } else {
      console.out().println("key id: " + id);
      console.out().println("secret: " + secret);
      console.out().println("the secret is shown only now; its hash is in " + file);
    }
    return platform.isGiven()
        ? new Publication(platform, output)
            .publish(directory.readValidated(), OptionalLong.empty(), console)
        : ExitCode.OK;
  }

  private void requireOrganisation() {
    boolean declared =
        directory.readValidated().getOrganisationsList().stream()
            .anyMatch(o -> o.getName().equals(organisation));
    if (!declared) {
      throw new CommandException(
          ExitCode.FAILED, "organisation \"" + organisation + "\" is not declared");
    }
  }
}
