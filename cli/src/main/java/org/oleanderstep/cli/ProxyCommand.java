package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import org.apache.logging.log4j.LogManager;
import org.oleanderstep.proxy.ProxyServer;

/** Runs a proxy until it is shut down. */
@Command(
    name = "proxy",
    description = "Runs a proxy; SIGTERM drains it, so that no request is interrupted.")
@Examples(
    examples = "oleanderstep proxy --settings examples/settings/proxy.json",
    descriptions = "Serves callers, peers and metrics at the addresses of the settings.")
public final class ProxyCommand implements CliCommand {

  @Option(name = "--settings", title = "FILE", description = "JSON file with the settings")
  @Required
  private String settingsFile;

  @Override
  public ExitCode run(Console console) {
    ProxyServer proxy = ProxyServer.from(Path.of(settingsFile)).start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  proxy.drain().join();
                  proxy.awaitStopped();
                  LogManager.shutdown();
                },
                "proxy-drain"));
    proxy.awaitStopped();
    return ExitCode.OK;
  }
}
