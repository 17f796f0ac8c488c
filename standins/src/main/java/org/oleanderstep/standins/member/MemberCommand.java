package org.oleanderstep.standins.member;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.oleanderstep.schema.v1.MemberSettings;

/** Runs one member of a database group until the process is terminated. */
@Command(name = "member", description = "Runs one member of a database group")
public final class MemberCommand implements Runnable {

  @Required
  @Option(
      name = "--settings",
      title = "FILE",
      description = "JSON file with the fields of MemberSettings")
  private String settingsFile;

  @Override
  public void run() {
    Member member = Member.start(readSettings(Path.of(settingsFile)));
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  member.close();
                  stopped.countDown();
                },
                "shutdown"));
    System.out.println("ready sql=" + member.sqlAddress() + " control=" + member.controlAddress());
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Reads settings in the JSON form of protobuf.
   *
   * @throws UncheckedIOException if the file cannot be read, or has an unknown field
   */
  public static MemberSettings readSettings(Path file) {
    MemberSettings.Builder settings = MemberSettings.newBuilder();
    try {
      JsonFormat.parser().merge(Files.readString(file), settings);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read the settings in " + file, e);
    }
    return settings.build();
  }
}
