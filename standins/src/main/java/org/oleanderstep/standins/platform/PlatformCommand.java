package org.oleanderstep.standins.platform;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.schema.v1.PlatformSettings;

/** Runs the stand-in for the platform until the process is stopped. */
@Command(name = "platform", description = "Runs the stand-in for the platform.")
public final class PlatformCommand implements Callable<Integer> {

  private static final Logger logger = LogManager.getLogger(PlatformCommand.class);

  @Option(
      name = "--settings",
      title = "FILE",
      description = "JSON file with PlatformSettings, see examples/settings/platform.json")
  @Required
  private String settingsFile;

  @Override
  public Integer call() throws IOException, InterruptedException {
    PlatformSettings.Builder settings = PlatformSettings.newBuilder();
    JsonFormat.parser().merge(Files.readString(Path.of(settingsFile)), settings);
    CountDownLatch stopped = new CountDownLatch(1);
    PlatformServer platform = PlatformServer.start(settings.build());
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  platform.close();
                  stopped.countDown();
                },
                "platform-stop"));
    logger.info("platform stand-in serves at {}", platform.url());
    stopped.await();
    return 0;
  }
}
