package org.oleanderstep.load.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.schema.v1.Database;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Member;
import org.oleanderstep.schema.v1.Organisation;
import org.oleanderstep.schema.v1.Service;
import org.oleanderstep.schema.v1.Vm;
import org.oleanderstep.schema.v1.VmKind;
import org.oleanderstep.standins.FreePorts;

/**
 * A running fleet: one platform, the members of all declared databases, and proxies, each a process
 * of its own, with relays on the links that faults may cut.
 *
 * <pre>{@code
 * try (Fleet fleet = Fleet.start(spec, random)) {
 *   fleet.proxies().get(0).process().kill();
 * }
 * }</pre>
 */
public final class Fleet implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Fleet.class);
  private static final String STANDIN = "org.oleanderstep.standins.Main";
  private static final String CLI = "org.oleanderstep.cli.Main";
  private static final int PLATFORM_HEAP_MIB = 64;
  private static final int MEMBER_HEAP_MIB = 128;
  private static final int PROXY_HEAP_MIB = 192;
  private static final int CLI_HEAP_MIB = 64;
  private static final Duration START_LIMIT = Duration.ofSeconds(60);
  private static final Duration POLL = Duration.ofMillis(50);

  private final FleetSpec spec;
  private final SettingsFiles settings;
  private final Map<String, Long> parties = new ConcurrentHashMap<>();
  private final Map<String, MemberNode> members = new LinkedHashMap<>();
  private final Map<String, List<MemberNode>> groups = new LinkedHashMap<>();
  private final List<ProxyNode> proxies = new ArrayList<>();
  private final Map<String, CallerKey> keys = new HashMap<>();
  private final HttpClient http = HttpClient.newHttpClient();
  private ManagedProcess platform;
  private Relay platformRelay;
  private PlatformAccess platformAccess;
  private Declarations declarations;

  private Fleet(FleetSpec spec) throws IOException {
    this.spec = spec;
    this.settings = new SettingsFiles(spec.directory());
  }

  /**
   * Starts all processes, publishes the declared objects and waits until every proxy is ready.
   *
   * @param random source of the callers' secrets
   * @throws IOException if a process can't be started or isn't ready within a minute
   */
  public static Fleet start(FleetSpec spec, RandomGenerator random)
      throws IOException, InterruptedException {
    Fleet fleet = new Fleet(spec);
    try {
      fleet.startPlatform();
      fleet.createMembers();
      fleet.startMembers();
      fleet.createProxies();
      fleet.declarations = fleet.declare(random);
      fleet.apply(fleet.declarations);
      for (ProxyNode proxy : fleet.proxies) {
        fleet.launch(proxy.process());
      }
      fleet.awaitReady();
      return fleet;
    } catch (IOException | InterruptedException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  private void startPlatform() throws IOException, InterruptedException {
    int port = FreePorts.next();
    Path file = settings.platform(port);
    platform = standin("platform", PLATFORM_HEAP_MIB, "platform", file);
    platformRelay =
        new Relay(
            "platform",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            () -> parties);
    platformAccess = new PlatformAccess("http://127.0.0.1:" + port);
    launch(platform);
    await("platform", () -> answers("http://127.0.0.1:" + port + "/stats"));
  }

  private ManagedProcess standin(String name, int heap, String command, Path file) {
    return ManagedProcess.java(
        name, STANDIN, heap, log(name), command, "--settings", file.toString());
  }

  private Path log(String name) {
    return spec.directory().resolve(name.replace('/', '-') + ".log");
  }

  private void launch(ManagedProcess process) throws IOException {
    process.start();
    parties.put(process.name(), process.pid());
  }

  private void createMembers() throws IOException {
    for (Service service : spec.declarations().getServicesList()) {
      for (Database database : service.getDatabasesList()) {
        createGroup(service.getName() + "/" + database.getName(), database);
      }
    }
  }

  private void createGroup(String group, Database database) throws IOException {
    List<MemberNode> nodes = new ArrayList<>();
    for (Member member : database.getMembersList()) {
      List<Integer> ports = FreePorts.next(2);
      String name = "member/" + member.getName();
      Path file = spec.directory().resolve("member-" + member.getName() + ".json");
      ManagedProcess process = standin(name, MEMBER_HEAP_MIB, "member", file);
      MemberNode node =
          MemberNode.create(member, group, process, ports.get(0), ports.get(1), () -> parties);
      nodes.add(node);
      members.put(member.getName(), node);
    }
    groups.put(group, nodes);
    for (MemberNode node : nodes) {
      settings.member(node, database, nodes, spec.applyLag());
    }
  }

  private void startMembers() throws IOException, InterruptedException {
    for (MemberNode node : members.values()) {
      launch(node.process());
      platformAccess.register(
          Vm.newBuilder()
              .setName(node.declared().getName())
              .setFailureDomain(node.declared().getFailureDomain())
              .setKind(VmKind.TARGET)
              .build());
    }
  }

  private void createProxies() throws IOException, InterruptedException {
    List<Integer> ports = FreePorts.next(3 * spec.proxies());
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < spec.proxies(); i++) {
      peers.add("127.0.0.1:" + ports.get(3 * i + 1));
    }
    String region = spec.declarations().getServices(0).getRegion();
    for (int i = 0; i < spec.proxies(); i++) {
      String vm = "vm-" + (i + 1);
      String name = "proxy/" + vm;
      Path file = spec.directory().resolve("proxy-" + vm + ".json");
      ManagedProcess process =
          ManagedProcess.java(
              name, CLI, PROXY_HEAP_MIB, log(name), "proxy", "--settings", file.toString());
      ProxyNode node =
          new ProxyNode(
              vm,
              process,
              "127.0.0.1:" + ports.get(3 * i),
              peers.get(i),
              "127.0.0.1:" + ports.get(3 * i + 2));
      proxies.add(node);
      String domain = spec.failureDomains().get(i % spec.failureDomains().size());
      settings.proxy(node, region, domain, "http://" + platformRelay.address(), peers);
      platformAccess.register(
          Vm.newBuilder()
              .setName(vm)
              .setFailureDomain(domain)
              .setKind(VmKind.ENTRY)
              .setPeerAddress(node.peerAddress())
              .build());
    }
  }

  private Declarations declare(RandomGenerator random) {
    Declarations.Builder set = spec.declarations().toBuilder().clearKeys();
    for (Organisation organisation : set.getOrganisationsList()) {
      CallerKey key = CallerKey.generate(organisation.getName(), random);
      keys.put(organisation.getName(), key);
      set.addKeys(key.declaration());
    }
    for (Service.Builder service : set.getServicesBuilderList()) {
      for (Database.Builder database : service.getDatabasesBuilderList()) {
        database
            .getMembersBuilderList()
            .forEach(member -> member.mergeFrom(members.get(member.getName()).relayed()));
      }
    }
    return set.build();
  }

  /**
   * Publishes a set of declared objects with the command line, as an operator does.
   *
   * @throws IOException if the command fails; the message names its log
   */
  public void apply(Declarations set) throws IOException, InterruptedException {
    Path directory = spec.directory().resolve("declared");
    DeclarationFiles.write(directory, set);
    String url = platformAccess.url();
    ManagedProcess command =
        ManagedProcess.java(
            "apply",
            CLI,
            CLI_HEAP_MIB,
            log("apply"),
            "apply",
            directory.toString(),
            "--platform",
            url);
    command.start();
    if (!command.awaitExit(START_LIMIT) || command.exitStatus() != 0) {
      command.close();
      throw new IOException("apply failed; see " + log("apply"));
    }
    declarations = set;
  }

  private void awaitReady() throws IOException, InterruptedException {
    for (ProxyNode proxy : proxies) {
      awaitReady(proxy);
    }
  }

  /**
   * Waits until a proxy reports that it is ready.
   *
   * @throws IOException if it isn't within a minute
   */
  public void awaitReady(ProxyNode proxy) throws IOException, InterruptedException {
    await(proxy.vm(), () -> answers("http://" + proxy.metricsAddress() + "/ready"));
  }

  private void await(String subject, Check check) throws IOException, InterruptedException {
    long limit = System.nanoTime() + START_LIMIT.toNanos();
    while (!check.holds()) {
      if (System.nanoTime() > limit) {
        throw new IOException(subject + " is not ready after " + START_LIMIT + "; see its log");
      }
      Thread.sleep(POLL.toMillis());
    }
  }

  private boolean answers(String url) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url)).timeout(POLL.multipliedBy(20)).build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      LOGGER.trace("{} does not answer yet", url, e);
      return false;
    }
  }

  /** Returns the proxies in the order of their names. */
  public List<ProxyNode> proxies() {
    return List.copyOf(proxies);
  }

  /** Returns the declared objects that were published last. */
  public Declarations declarations() {
    return declarations;
  }

  /** Returns the key that callers of an organisation use. */
  public CallerKey key(String organisation) {
    return keys.get(organisation);
  }

  /** Returns the test controls of the platform. */
  public PlatformAccess platform() {
    return platformAccess;
  }

  /** Returns the relay between the proxies and the platform. */
  public Relay platformRelay() {
    return platformRelay;
  }

  /** Returns the databases of the fleet, as {@code service/database}. */
  public List<String> databases() {
    return List.copyOf(groups.keySet());
  }

  /** Returns the group of a database given as {@code service/database}. */
  public GroupAccess group(String database) {
    return new GroupAccess(database, groups.get(database), parties);
  }

  /**
   * Returns a process by its name: "platform", "proxy/VM" or "member/NAME".
   *
   * @throws IllegalArgumentException if there is none
   */
  public ManagedProcess process(String name) {
    if (name.equals("platform")) {
      return platform;
    }
    if (name.startsWith("member/") && members.containsKey(name.substring("member/".length()))) {
      return members.get(name.substring("member/".length())).process();
    }
    return proxies.stream()
        .map(ProxyNode::process)
        .filter(process -> process.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("the fleet has no process " + name));
  }

  /** Starts a process again after it was killed. */
  public void restart(ManagedProcess process) throws IOException {
    launch(process);
  }

  /** Returns the names of all processes that run. */
  public List<String> parties() {
    return List.copyOf(parties.keySet());
  }

  @Override
  public void close() {
    List<ManagedProcess> all = new ArrayList<>();
    proxies.forEach(proxy -> all.add(proxy.process()));
    members.values().forEach(node -> all.add(node.process()));
    if (platform != null) {
      all.add(platform);
    }
    for (ManagedProcess process : all) {
      closeQuietly(process);
    }
    members.values().forEach(node -> closeQuietly(node.sqlRelay()));
    members.values().forEach(node -> closeQuietly(node.controlRelay()));
    if (platformRelay != null) {
      closeQuietly(platformRelay);
    }
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      LOGGER.warn("a part of the fleet could not be stopped", e);
    }
  }

  /** A condition that is polled. */
  @FunctionalInterface
  private interface Check {
    boolean holds() throws IOException, InterruptedException;
  }
}
