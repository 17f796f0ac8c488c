package org.oleanderstep.proxy;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import javax.net.ssl.SSLException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.proxy.internal.control.AdminService;
import org.oleanderstep.proxy.internal.control.ControlMetrics;
import org.oleanderstep.proxy.internal.control.ControlThread;
import org.oleanderstep.proxy.internal.control.PeerService;
import org.oleanderstep.proxy.internal.convert.DurationConverter;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.RetrySettings;
import org.oleanderstep.proxy.internal.rpc.Channels;
import org.oleanderstep.proxy.internal.rpc.MemberCalls;
import org.oleanderstep.proxy.internal.rpc.PeerCalls;
import org.oleanderstep.proxy.internal.rpc.TlsContexts;
import org.oleanderstep.proxy.internal.server.MetricsServer;
import org.oleanderstep.proxy.internal.server.PeerServer;
import org.oleanderstep.proxy.internal.settings.HostPort;
import org.oleanderstep.proxy.internal.settings.ProxySettingsLoader;
import org.oleanderstep.proxy.internal.target.TargetAccount;
import org.oleanderstep.proxy.internal.traffic.ControlPlane;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;
import org.oleanderstep.proxy.internal.traffic.TrafficServer;
import org.oleanderstep.proxy.internal.traffic.TrafficSettings;
import org.oleanderstep.schema.v1.CallerLimits;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TlsSettings;

/**
 * A proxy that runs in this process.
 *
 * <pre>{@code
 * ProxyServer proxy = ProxyServer.from(Path.of("proxy.json")).start();
 * proxy.drain().join();
 * proxy.close();
 * }</pre>
 */
public final class ProxyServer implements AutoCloseable {

  private static final Logger logger = LogManager.getLogger(ProxyServer.class);
  private static final int NETWORK_THREADS = 2;

  /** Number of threads for blocking calls to targets. */
  private static final int TARGET_THREADS = 64;

  private static final long STOP_TIMEOUT_SECONDS = 1;

  private final ProxySettings settings;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();

  private EventLoopGroup eventLoops;
  private Channels peerChannels;
  private Channels memberChannels;
  private ControlThread control;
  private PeerServer peerServer;
  private TrafficServer traffic;
  private MetricsServer metrics;

  private ProxyServer(ProxySettings settings) {
    this.settings = settings;
  }

  /**
   * Creates a proxy, not yet started, with the settings of a file.
   *
   * @throws RuntimeException if the settings are invalid; the message lists all errors
   */
  public static ProxyServer from(Path settingsFile) {
    return new ProxyServer(ProxySettingsLoader.load(settingsFile));
  }

  /**
   * Creates a proxy, not yet started, with the given settings and defaults for those that are
   * missing.
   *
   * @throws RuntimeException if the settings are invalid; the message lists all errors
   */
  public static ProxyServer from(ProxySettings settings) {
    return new ProxyServer(ProxySettingsLoader.check("the settings", settings));
  }

  /**
   * Starts serving. The proxy becomes ready once it has a trusted configuration and a share table.
   */
  public ProxyServer start() {
    try {
      startComponents();
    } catch (RuntimeException e) {
      close();
      throw e;
    }
    logger.info(
        "proxy {} serves callers at {}, peers at {}, metrics at {}",
        settings.getVm(),
        callerAddress(),
        peerAddress(),
        metricsAddress());
    return this;
  }

  private void startComponents() {
    eventLoops =
        new MultiThreadIoEventLoopGroup(
            NETWORK_THREADS,
            new DefaultThreadFactory("control-network-" + settings.getVm(), true),
            NioIoHandler.newFactory());
    peerChannels = new Channels(eventLoops, TlsContexts.client(settings.getPeerTls()));
    memberChannels = new Channels(eventLoops, Optional.empty());
    PlatformClient platform =
        new PlatformClient(
            URI.create(settings.getPlatform().getUrl()),
            DurationConverter.toCore(settings.getPlatform().getTimeout()),
            RetrySettings.NONE,
            settings.getVm());
    control =
        new ControlThread(
            settings,
            new MemberCalls(memberChannels),
            new PeerCalls(peerChannels),
            platform,
            new SecureRandom());
    peerServer =
        PeerServer.start(
            parseAddress(settings.getPeerAddress()),
            TlsContexts.server(settings.getPeerTls()),
            eventLoops,
            List.of(new PeerService(control), new AdminService(control)));
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    ControlMetrics.register(registry, control, platform);
    traffic =
        TrafficServer.start(
            control, trafficSettings(), targetAccount(), registry, InstantSource.system());
    control.start(traffic, peerAddress(), callerAddress(), this::drainTraffic);
    metrics =
        MetricsServer.start(parseAddress(settings.getMetricsAddress()), registry, this::readiness);
  }

  private TrafficSettings trafficSettings() {
    CallerLimits limits = settings.getLimits();
    return new TrafficSettings(
        parseAddress(settings.getCallerAddress()).toSocketAddress(),
        callerTls(settings.getCallerTls()),
        limits.getMaxFrameBytes(),
        limits.getMaxStatementBytes(),
        limits.getMaxConnections(),
        limits.getMaxRowsPerFrame(),
        DurationConverter.toCore(limits.getIdleTimeout()),
        limits.getMaxQueuedRequests(),
        DurationConverter.toCore(settings.getTarget().getStatementTimeout()),
        DurationConverter.toCore(settings.getRequestIdRetention()),
        TARGET_THREADS);
  }

  private static Optional<SslContext> callerTls(TlsSettings tls) {
    if (!tls.getEnabled()) {
      return Optional.empty();
    }
    try {
      SslContextBuilder builder =
          SslContextBuilder.forServer(
              new File(tls.getCertificateFile()), new File(tls.getPrivateKeyFile()));
      if (!tls.getTrustedCertificatesFile().isEmpty()) {
        builder
            .trustManager(new File(tls.getTrustedCertificatesFile()))
            .clientAuth(ClientAuth.REQUIRE);
      }
      return Optional.of(builder.build());
    } catch (SSLException e) {
      throw new IllegalArgumentException("callerTls cannot be used: " + e.getMessage(), e);
    }
  }

  private TargetAccount targetAccount() {
    Path file = Path.of(settings.getTarget().getPasswordFile());
    try {
      return new TargetAccount(
          settings.getTarget().getUser(),
          Files.readString(file).strip(),
          DurationConverter.toCore(settings.getTarget().getStatementTimeout()));
    } catch (IOException e) {
      throw new IllegalArgumentException("target.passwordFile cannot be read: " + file, e);
    }
  }

  private static HostPort parseAddress(String text) {
    return HostPort.parse(text)
        .orElseThrow(() -> new IllegalArgumentException("not a host:port address: " + text));
  }

  private MetricsServer.Readiness readiness() {
    ControlSnapshot snapshot = control.snapshot();
    if (snapshot.leaving()) {
      return new MetricsServer.Readiness(false, "leaving");
    }
    if (snapshot.configuration().isEmpty()) {
      return new MetricsServer.Readiness(false, "no configuration has been received yet");
    }
    if (!snapshot.trusted()) {
      return new MetricsServer.Readiness(false, "the configuration is not trusted");
    }
    return snapshot.ready()
        ? new MetricsServer.Readiness(true, "ready")
        : new MetricsServer.Readiness(false, "no share table has been received yet");
  }

  /** Returns the listen address for callers. */
  public String callerAddress() {
    return parseAddress(settings.getCallerAddress()).withPort(traffic.callerPort()).toString();
  }

  /** Returns the listen address for other proxies and operators. */
  public String peerAddress() {
    return parseAddress(settings.getPeerAddress()).withPort(peerServer.port()).toString();
  }

  /** Returns the listen address of the HTTP server for metrics, health and readiness. */
  public String metricsAddress() {
    int port = metrics == null ? 0 : metrics.port();
    return parseAddress(settings.getMetricsAddress()).withPort(port).toString();
  }

  /** Returns whether callers may be sent to this proxy. */
  public boolean isReady() {
    return readiness().ready();
  }

  /** Returns the generation of the current configuration, 0 if there is none. */
  public long configurationGeneration() {
    return control.snapshot().configuration().map(c -> c.generation()).orElse(0L);
  }

  /** Returns the control plane; visible for tests. */
  ControlPlane control() {
    return control;
  }

  /** Drains with the drain time from the settings. */
  public CompletableFuture<Void> drain() {
    return drain(DurationConverter.toCore(settings.getDrainTime()));
  }

  /**
   * Accepts no new work and lets requests in flight finish. The future completes when no request
   * runs any more; the proxy then stops by itself.
   *
   * @param drainTime how long open transactions may continue
   */
  public CompletableFuture<Void> drain(Duration drainTime) {
    control.requestDrain(Optional.of(drainTime));
    return drained;
  }

  private void drainTraffic(Duration drainTime) {
    if (draining.getAndSet(true)) {
      return;
    }
    CompletableFuture<Void> unused =
        traffic
            .drain(drainTime)
            .whenComplete(
                (done, failure) -> {
                  logger.info("drained");
                  drained.complete(null);
                  new Thread(this::close, "proxy-stop").start();
                });
  }

  /** Waits until the proxy has stopped. */
  public void awaitStopped() {
    stopped.join();
  }

  /** Stops immediately, without draining. */
  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    closeComponent(metrics);
    closeComponent(traffic);
    closeComponent(peerServer);
    closeComponent(control);
    closeComponent(peerChannels);
    closeComponent(memberChannels);
    if (eventLoops != null) {
      eventLoops
          .shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    drained.complete(null);
    stopped.complete(null);
  }

  private static void closeComponent(AutoCloseable component) {
    if (component == null) {
      return;
    }
    try {
      component.close();
    } catch (Exception e) {
      logger.warn("{} was not closed cleanly", component.getClass().getSimpleName(), e);
    }
  }
}
