package org.oleanderstep.standins.member.internal;

import com.google.protobuf.util.Durations;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.calcite.avatica.metrics.noop.NoopMetricsSystem;
import org.apache.calcite.avatica.remote.Handler;
import org.apache.calcite.avatica.remote.LocalService;
import org.apache.calcite.avatica.remote.ProtobufHandler;
import org.apache.calcite.avatica.remote.ProtobufTranslationImpl;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.schema.v1.MemberPeer;
import org.oleanderstep.schema.v1.MemberSettings;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.standins.http.Stutter;

/** Builds the parts of a member from its settings, and starts and stops them. */
public final class MemberRuntime implements AutoCloseable {

  private static final Logger logger = LogManager.getLogger(MemberRuntime.class);
  private static final int DEFAULT_CONNECTIONS = 16;
  private static final int DEFAULT_SLOTS = 2;
  private static final int MAX_MESSAGE_BYTES = 64 << 20;
  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final MemberSettings settings;
  private final EventLoopGroup sqlLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /**
   * Also runs the calls of the control port, which only take the state's lock and write to files; a
   * hop to another thread would cost each commit more than they do.
   */
  private final EventLoopGroup controlLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final ReplicatedLog log;
  private final ReplicationState state;
  private final HttpSqlServer sqlServer;
  private final List<ManagedChannel> channels = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private Server controlServer;

  private MemberRuntime(MemberSettings settings, Stutter stutter) {
    this.settings = settings;
    Path directory = Path.of(settings.getDataDirectory());
    log = ReplicatedLog.open(directory);
    sqlServer = new HttpSqlServer(sqlLoop, stutter);
    state =
        new ReplicationState(
            settings.getName(),
            settings.getPeersList().stream().map(MemberPeer::getName).toList(),
            settings.getInitialPrimary(),
            duration(settings.getApplyLag()),
            log,
            new PromiseFile(directory),
            System::nanoTime,
            sqlServer::closeClients);
  }

  /**
   * Starts a member.
   *
   * @throws IllegalArgumentException if the settings are incomplete
   */
  public static MemberRuntime start(MemberSettings settings, Stutter stutter) {
    require(!settings.getName().isEmpty(), "name");
    require(!settings.getDataDirectory().isEmpty(), "data_directory");
    require(!settings.getUser().isEmpty(), "user");
    require(
        settings.getPeersList().stream().noneMatch(p -> p.getName().equals(settings.getName())),
        "peers without the member itself");
    MemberRuntime runtime = new MemberRuntime(settings, stutter);
    try {
      runtime.startParts();
    } catch (RuntimeException e) {
      runtime.close();
      throw e;
    }
    return runtime;
  }

  private static void require(boolean present, String field) {
    if (!present) {
      throw new IllegalArgumentException("the settings of a member need the field " + field);
    }
  }

  private void startParts() {
    Applier applier = new Applier(state);
    SqlSessions sessions =
        new SqlSessions(
            state,
            applier,
            orDefault(settings.getConnections(), DEFAULT_CONNECTIONS),
            orDefault(settings.getSlots(), DEFAULT_SLOTS),
            duration(settings.getConnectDelay()));
    startThread(applier, "applier");
    startControlServer();
    startReplicators();
    startSqlServer(sessions);
  }

  private void startThread(Runnable task, String name) {
    Thread thread = new Thread(task, settings.getName() + "-" + name);
    thread.setDaemon(true);
    thread.start();
    threads.add(thread);
  }

  private void startControlServer() {
    try {
      controlServer =
          NettyServerBuilder.forAddress(address(settings.getControlAddress()))
              .bossEventLoopGroup(controlLoop)
              .workerEventLoopGroup(controlLoop)
              .channelType(NioServerSocketChannel.class)
              .directExecutor()
              .maxInboundMessageSize(MAX_MESSAGE_BYTES)
              .addService(new GroupControlService(state))
              .build()
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(
          "cannot listen on the control address " + settings.getControlAddress(), e);
    }
  }

  private void startReplicators() {
    for (MemberPeer peer : settings.getPeersList()) {
      InetSocketAddress address = address(peer.getControlAddress());
      ManagedChannel channel =
          NettyChannelBuilder.forAddress(address.getHostString(), address.getPort())
              .eventLoopGroup(controlLoop)
              .channelType(NioSocketChannel.class)
              .directExecutor()
              .usePlaintext()
              .build();
      channels.add(channel);
      startThread(new Replicator(state, peer.getName(), channel), "replicator-" + peer.getName());
    }
  }

  private void startSqlServer(SqlSessions sessions) {
    LocalService service = new LocalService(new MemberMeta(sessions));
    Handler<byte[]> avatica =
        new ProtobufHandler(
            service, new ProtobufTranslationImpl(), NoopMetricsSystem.getInstance());
    String credentials = settings.getUser() + ":" + settings.getPassword();
    String authorization =
        "Basic " + Base64.getEncoder().encodeToString(credentials.getBytes(StandardCharsets.UTF_8));
    sqlServer.start(
        address(settings.getSqlAddress()),
        () -> new SqlRequestHandler(avatica, sessions, state, workers, authorization));
  }

  private static InetSocketAddress address(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("expected host:port but got \"" + hostAndPort + "\"");
    }
    return new InetSocketAddress(
        hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
  }

  private static Duration duration(com.google.protobuf.Duration value) {
    return Duration.ofNanos(Durations.toNanos(value));
  }

  private static int orDefault(int value, int defaultValue) {
    return value > 0 ? value : defaultValue;
  }

  /** Returns the address on which SQL is served. */
  public InetSocketAddress sqlAddress() {
    return sqlServer.address();
  }

  /** Returns the address of the control port. */
  public InetSocketAddress controlAddress() {
    return (InetSocketAddress) controlServer.getListenSockets().get(0);
  }

  /** Returns what the control port reports. */
  public MemberStatus status() {
    return state.status();
  }

  /**
   * Stops all parts. No thread is interrupted, since that would close a file of the log that it is
   * writing; closing the state and the channels ends what the threads wait for.
   */
  @Override
  public void close() {
    state.close();
    sqlServer.close();
    if (controlServer != null) {
      controlServer.shutdownNow();
    }
    channels.forEach(ManagedChannel::shutdownNow);
    workers.shutdown();
    try {
      for (Thread thread : threads) {
        thread.join(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_SECONDS));
      }
      if (controlServer != null
          && !controlServer.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        logger.warn("the control port did not stop within {} s", STOP_TIMEOUT_SECONDS);
      }
      if (!workers.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        logger.warn("statements still run after {} s", STOP_TIMEOUT_SECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stop(sqlLoop);
    stop(controlLoop);
    log.close();
  }

  private static void stop(EventLoopGroup loop) {
    boolean stopped =
        loop.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!stopped) {
      logger.warn("an event loop did not stop within {} s", STOP_TIMEOUT_SECONDS);
    }
  }
}
