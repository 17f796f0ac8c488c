package org.oleanderstep.proxy;

import com.google.protobuf.util.Durations;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.RetrySettings;
import org.oleanderstep.schema.v1.Database;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Key;
import org.oleanderstep.schema.v1.Member;
import org.oleanderstep.schema.v1.Organisation;
import org.oleanderstep.schema.v1.PlatformClientSettings;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.PublishedConfiguration;
import org.oleanderstep.schema.v1.Route;
import org.oleanderstep.schema.v1.Service;
import org.oleanderstep.schema.v1.TargetSettings;
import org.oleanderstep.schema.v1.TlsSettings;
import org.oleanderstep.schema.v1.Vm;
import org.oleanderstep.schema.v1.VmKind;
import org.oleanderstep.standins.platform.PlatformServer;

/** Several proxies in one process, with a platform and one group of fake members. */
final class Fleet implements AutoCloseable {

  private static final String[] DOMAINS = {"a", "b", "c", "d"};

  final PlatformServer platform;
  final List<FakeMember> members = new ArrayList<>();
  final Map<String, ProxyServer> proxies = new LinkedHashMap<>();
  private final HttpClient http = HttpClient.newHttpClient();
  private final Path passwordFile;
  private int domainCount = DOMAINS.length;
  private TlsSettings peerTls = TlsSettings.getDefaultInstance();

  Fleet(Path directory) throws IOException {
    passwordFile = Files.writeString(directory.resolve("password"), "secret");
    platform =
        PlatformServer.start(PlatformSettings.newBuilder().setAddress("127.0.0.1:0").build());
    for (String name : List.of("m1", "m2", "m3")) {
      members.add(new FakeMember(name, "m1"));
    }
  }

  /** Starts proxies with the names vm-1, vm-2 and so on, which the platform lists. */
  void start(int count) {
    for (int i = 1; i <= count; i++) {
      platform.putVm(
          Vm.newBuilder()
              .setName("vm-" + i)
              .setFailureDomain(failureDomain(i))
              .setKind(VmKind.ENTRY)
              .build());
    }
    for (int i = 1; i <= count; i++) {
      startProxy(i);
    }
  }

  ProxyServer startProxy(int number) {
    List<String> seeds = proxies.values().stream().map(ProxyServer::peerAddress).toList();
    ProxyServer proxy = ProxyServer.from(settings(number, seeds)).start();
    proxies.put("vm-" + number, proxy);
    return proxy;
  }

  ProxySettings settings(int number, List<String> seeds) {
    return ProxySettings.newBuilder()
        .setVm("vm-" + number)
        .setRegion("test")
        .setFailureDomain(failureDomain(number))
        .setCallerAddress("127.0.0.1:0")
        .setPeerAddress("127.0.0.1:0")
        .setMetricsAddress("127.0.0.1:0")
        .setPlatform(
            PlatformClientSettings.newBuilder()
                .setUrl(platform.url().toString())
                .setTimeout(Durations.fromMillis(500)))
        .addAllSeedPeers(seeds)
        .setPeerTls(peerTls)
        .setTarget(
            TargetSettings.newBuilder().setUser("proxy").setPasswordFile(passwordFile.toString()))
        .build();
  }

  private String failureDomain(int number) {
    return DOMAINS[number % domainCount];
  }

  /** Puts all proxies into one failure domain, in which only two of them watch the platform. */
  void useSingleDomain() {
    domainCount = 1;
  }

  void usePeerTls(TlsSettings tls) {
    peerTls = tls;
  }

  /** Returns valid declarations with one organisation that has the given keys. */
  Declarations declarations(Key... keys) {
    Database.Builder database = Database.newBuilder().setName("d").setSlots(2).setConnections(16);
    for (FakeMember member : members) {
      database.addMembers(
          Member.newBuilder()
              .setName(member.name())
              .setFailureDomain("a")
              .setJdbcUrl("jdbc:avatica:remote:url=http://127.0.0.1:1/" + member.name())
              .setControlAddress(member.address()));
    }
    return Declarations.newBuilder()
        .addOrganisations(
            Organisation.newBuilder().setName("org").setRatePerSecond(100).setBurst(100))
        .addServices(Service.newBuilder().setName("s").setRegion("test").addDatabases(database))
        .addRoutes(Route.newBuilder().setName("r").setService("s").addOrganisations("org"))
        .addAllKeys(List.of(keys))
        .build();
  }

  static Key key(String id, boolean withdrawn) {
    return Key.newBuilder()
        .setId(id)
        .setOrganisation("org")
        .setSecretSha256("0123456789abcdef".repeat(4))
        .setWithdrawn(withdrawn)
        .build();
  }

  PublishedConfiguration publish(Declarations declarations) {
    PlatformClient client =
        new PlatformClient(platform.url(), Duration.ofSeconds(2), RetrySettings.NONE, "operator");
    ConfigurationStore store = new ConfigurationStore(client, InstantSource.system());
    Optional<ConfigurationStore.StoredConfiguration> base = store.read().join();
    return store.publish(base, declarations).join();
  }

  boolean allReady() {
    return proxies.values().stream().allMatch(ProxyServer::isReady);
  }

  boolean allAtGeneration(long generation) {
    return proxies.values().stream().allMatch(p -> p.configurationGeneration() == generation);
  }

  /** Sends a GET request for a path to the metrics address of a proxy. */
  HttpResponse<String> get(ProxyServer proxy, String path) {
    URI uri = URI.create("http://" + proxy.metricsAddress() + path);
    try {
      return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits for a condition and returns the elapsed time; fails if the limit passes first. */
  static Duration await(String what, Duration limit, BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > limit.toNanos()) {
        throw new AssertionError(what + " did not happen within " + limit);
      }
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    return Duration.ofNanos(System.nanoTime() - start);
  }

  /**
   * Waits until a condition has held continuously for {@code held}; fails if the limit passes
   * first.
   */
  static void awaitStable(String what, Duration held, Duration limit, BooleanSupplier condition) {
    long[] since = {System.nanoTime()};
    Duration unused =
        await(
            what,
            limit,
            () -> {
              long now = System.nanoTime();
              if (!condition.getAsBoolean()) {
                since[0] = now;
              }
              return now - since[0] >= held.toNanos();
            });
  }

  @Override
  public void close() {
    proxies.values().forEach(ProxyServer::close);
    members.forEach(FakeMember::close);
    platform.close();
  }
}
