package org.oleanderstep.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.proxy.ProxyServer;
import org.oleanderstep.schema.v1.PlatformClientSettings;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TargetSettings;
import org.oleanderstep.schema.v1.Vm;
import org.oleanderstep.schema.v1.VmKind;
import org.oleanderstep.standins.FreePorts;
import org.oleanderstep.standins.platform.PlatformServer;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class RunningProxyTest {

  @TempDir private Path directory;
  private PlatformServer platform;
  private ProxyServer proxy;

  @BeforeEach
  void startProxy() throws Exception {
    platform =
        PlatformServer.start(PlatformSettings.newBuilder().setAddress("127.0.0.1:0").build());
    Path password = Files.writeString(directory.resolve("password"), "p");
    proxy =
        ProxyServer.from(
                ProxySettings.newBuilder()
                    .setVm("vm-1")
                    .setRegion("r")
                    .setFailureDomain("a")
                    .setCallerAddress("127.0.0.1:0")
                    .setPeerAddress("127.0.0.1:0")
                    .setMetricsAddress("127.0.0.1:0")
                    .setPlatform(
                        PlatformClientSettings.newBuilder().setUrl(platform.url().toString()))
                    .setTarget(
                        TargetSettings.newBuilder()
                            .setUser("u")
                            .setPasswordFile(password.toString()))
                    .build())
            .start();
    platform.putVm(
        Vm.newBuilder()
            .setName("vm-1")
            .setKind(VmKind.ENTRY)
            .setPeerAddress(proxy.peerAddress())
            .build());
    String url = platform.url().toString();
    assertThat(CommandRun.of("apply", "../examples/tallerkode", "--platform", url).exitCode())
        .isEqualTo(0);
    while (!proxy.isReady()) {
      Thread.sleep(10);
    }
  }

  @AfterEach
  void stopProxy() {
    proxy.close();
    platform.close();
  }

  @Test
  void should_show_the_current_generation_of_each_listed_proxy() {
    CommandRun run = CommandRun.of("status", "--platform", platform.url().toString());
    assertWithMessage(run.err()).that(run.exitCode()).isEqualTo(0);
    assertThat(run.out()).containsMatch("vm-1 +1 +1 +ready");
    assertThat(run.out()).contains("carrom-main/orders: term 0, primary none");
  }

  // A proxy that does not respond must not be reported as up to date.
  @Test
  void should_report_a_proxy_that_does_not_respond() throws Exception {
    int unusedPort = FreePorts.next();
    CommandRun run =
        CommandRun.of(
            "status",
            "--proxy",
            proxy.peerAddress(),
            "--proxy",
            "127.0.0.1:" + unusedPort,
            "--output",
            "json");
    assertThat(run.exitCode()).isEqualTo(4);
    assertThat(run.out()).contains("\"answered\": false");
    assertThat(run.out()).contains("\"configurationGeneration\": \"1\"");
  }

  @Test
  void should_drain_the_proxy_on_a_vm() {
    CommandRun run =
        CommandRun.of("drain", "--vm", "vm-1", "--platform", platform.url().toString());
    assertWithMessage(run.err()).that(run.exitCode()).isEqualTo(0);
    proxy.awaitStopped();
  }

  @Test
  void should_print_why_a_primary_was_not_moved() {
    CommandRun unknown =
        CommandRun.of("failover", "--database", "x/y", "--proxy", proxy.peerAddress());
    assertThat(unknown.exitCode()).isEqualTo(1);
    assertThat(unknown.err()).contains("no database x/y is declared");
    CommandRun absent =
        CommandRun.of(
            "failover",
            "--database",
            "carrom-main/orders",
            "--to",
            "orders-9",
            "--proxy",
            proxy.peerAddress());
    assertThat(absent.exitCode()).isEqualTo(1);
    assertThat(absent.err()).contains("no member of carrom-main/orders has the name orders-9");
  }
}
