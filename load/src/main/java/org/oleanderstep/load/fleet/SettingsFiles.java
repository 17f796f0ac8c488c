package org.oleanderstep.load.fleet;

import com.google.protobuf.Duration;
import com.google.protobuf.Message;
import com.google.protobuf.util.Durations;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.oleanderstep.schema.v1.Database;
import org.oleanderstep.schema.v1.MemberPeer;
import org.oleanderstep.schema.v1.MemberSettings;
import org.oleanderstep.schema.v1.PlatformClientSettings;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TargetSettings;

/** Writes the settings of the fleet's processes. */
final class SettingsFiles {

  private static final Duration PLATFORM_TIMEOUT = Durations.fromMillis(1_000);

  private final Path directory;
  private final Path passwordFile;

  SettingsFiles(Path directory) throws IOException {
    this.directory = Files.createDirectories(directory);
    passwordFile = directory.resolve("target-password");
    Files.writeString(passwordFile, TargetAccount.PASSWORD);
  }

  Path platform(int port) throws IOException {
    PlatformSettings settings =
        PlatformSettings.newBuilder()
            .setAddress("127.0.0.1:" + port)
            .setVmListLag(Durations.fromMillis(500))
            .setDataDirectory(directory.resolve("platform-data").toString())
            .build();
    return write("platform", settings);
  }

  Path member(MemberNode node, Database database, List<MemberNode> peers, java.time.Duration lag)
      throws IOException {
    String name = node.declared().getName();
    MemberSettings.Builder settings =
        MemberSettings.newBuilder()
            .setName(name)
            .setFailureDomain(node.declared().getFailureDomain())
            .setSqlAddress("127.0.0.1:" + node.sqlPort())
            .setControlAddress("127.0.0.1:" + node.controlPort())
            .setConnections(database.getConnections())
            .setSlots(database.getSlots())
            .setApplyLag(Durations.fromNanos(lag.toNanos()))
            .setDataDirectory(directory.resolve("data-" + name).toString())
            .setInitialPrimary(database.getMembers(0).getName())
            .setUser(TargetAccount.USER)
            .setPassword(TargetAccount.PASSWORD);
    peers.stream()
        .filter(peer -> !peer.process().name().equals(node.process().name()))
        .forEach(peer -> settings.addPeers(peer(peer)));
    return write("member-" + name, settings.build());
  }

  private static MemberPeer peer(MemberNode node) {
    return MemberPeer.newBuilder()
        .setName(node.declared().getName())
        .setControlAddress(node.controlRelay().address())
        .build();
  }

  Path proxy(
      ProxyNode node, String region, String failureDomain, String platformUrl, List<String> seeds)
      throws IOException {
    ProxySettings settings =
        ProxySettings.newBuilder()
            .setVm(node.vm())
            .setRegion(region)
            .setFailureDomain(failureDomain)
            .setCallerAddress(node.callerAddress())
            .setPeerAddress(node.peerAddress())
            .setMetricsAddress(node.metricsAddress())
            .setPlatform(
                PlatformClientSettings.newBuilder()
                    .setUrl(platformUrl)
                    .setTimeout(PLATFORM_TIMEOUT))
            .addAllSeedPeers(seeds)
            .setTarget(
                TargetSettings.newBuilder()
                    .setUser(TargetAccount.USER)
                    .setPasswordFile(passwordFile.toString()))
            .build();
    return write("proxy-" + node.vm(), settings);
  }

  private Path write(String name, Message settings) throws IOException {
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, JsonFormat.printer().print(settings));
    return file;
  }
}
