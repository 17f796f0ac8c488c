package org.oleanderstep.load.fleet;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

/**
 * Finds the process at the other end of a loopback connection, from the kernel's tables in {@code
 * /proc}.
 */
final class PeerProcess {

  private static final List<Path> TABLES =
      List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
  private static final int LOCAL_ADDRESS = 1;
  private static final int INODE = 9;

  private PeerProcess() {}

  /**
   * Returns which of the candidate processes owns the socket with the given local port, if any.
   *
   * @throws IOException if the kernel's table can't be read
   */
  static OptionalLong find(int localPort, Collection<Long> candidates) throws IOException {
    String inode = inodeOf(localPort);
    if (inode == null) {
      return OptionalLong.empty();
    }
    String link = "socket:[" + inode + "]";
    for (long pid : candidates) {
      if (owns(pid, link)) {
        return OptionalLong.of(pid);
      }
    }
    return OptionalLong.empty();
  }

  private static String inodeOf(int localPort) throws IOException {
    String suffix = String.format(Locale.ROOT, ":%04X", localPort);
    for (Path table : TABLES) {
      for (String line : Files.readAllLines(table)) {
        String[] fields = line.trim().split("\\s+", -1);
        boolean connected = fields.length > INODE && !fields[INODE].equals("0");
        if (connected && fields[LOCAL_ADDRESS].endsWith(suffix)) {
          return fields[INODE];
        }
      }
    }
    return null;
  }

  private static boolean owns(long pid, String link) {
    Path directory = Path.of("/proc", Long.toString(pid), "fd");
    try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(directory)) {
      for (Path descriptor : descriptors) {
        if (isLinkTo(descriptor, link)) {
          return true;
        }
      }
    } catch (IOException e) {
      // The process has ended since it was listed.
      return false;
    }
    return false;
  }

  private static boolean isLinkTo(Path descriptor, String link) {
    try {
      return Files.readSymbolicLink(descriptor).toString().equals(link);
    } catch (IOException e) {
      // Closed since the directory was read.
      return false;
    }
  }
}
