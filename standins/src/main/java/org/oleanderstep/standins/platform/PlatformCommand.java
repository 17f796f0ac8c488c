package org.oleanderstep.standins.platform;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.standins.http.Stutter;

/** Runs the stand-in for the platform until the process is stopped. */
@Command(name = "platform", description = "Runs the stand-in for the platform.")
public final class PlatformCommand implements Runnable {

  private static final Logger logger = LogManager.getLogger(PlatformCommand.class);

  @Option(
      name = "--settings",
      title = "FILE",
      description = "JSON file with PlatformSettings, see examples/settings/platform.json")
  @Required
  private String settingsFile;

  @Override
  public void run() {
    CountDownLatch stopped = new CountDownLatch(1);
    PlatformServer platform = PlatformServer.start(readSettings(), Stutter.DEFAULT);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  platform.close();
                  stopped.countDown();
                },
                "platform-stop"));
    logger.info("platform stand-in serves at {}", platform.url());
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private PlatformSettings readSettings() {
    PlatformSettings.Builder settings = PlatformSettings.newBuilder();
    try {
      JsonFormat.parser().merge(Files.readString(Path.of(settingsFile)), settings);
    } catch (IOException e) {
      throw new UncheckedIOException("the settings " + settingsFile + " cannot be used", e);
    }
    return settings.build();
  }
}
