package org.oleanderstep.standins.platform;

import com.google.protobuf.util.Durations;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.schema.v1.PlatformStats;
import org.oleanderstep.schema.v1.Vm;
import org.oleanderstep.standins.http.Stutter;
import org.oleanderstep.standins.http.StutteringResponses;

/**
 * A running stand-in for the platform.
 *
 * <pre>{@code
 * try (PlatformServer platform = PlatformServer.start(settings)) {
 *   platform.setFaults(PlatformFaults.newBuilder().setUnavailable(true).build());
 * }
 * }</pre>
 */
public final class PlatformServer implements AutoCloseable {

  /** Largest value of an object, in bytes; larger ones are answered with status 413. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private static final int THREADS = 2;
  private static final long STOP_SECONDS = 2;

  private final PlatformState state;
  private final EventLoopGroup threads;
  private final ChannelGroup connections;
  private final Channel listener;
  private final AtomicBoolean closed = new AtomicBoolean();

  private PlatformServer(
      PlatformState state, EventLoopGroup threads, ChannelGroup connections, Channel listener) {
    this.state = state;
    this.threads = threads;
    this.connections = connections;
    this.listener = listener;
  }

  /** Starts a stand-in that sends each response once; port 0 picks a free port. */
  public static PlatformServer start(PlatformSettings settings) {
    return start(settings, Stutter.NONE);
  }

  /** Starts a stand-in that repeats responses as told; port 0 picks a free port. */
  public static PlatformServer start(PlatformSettings settings, Stutter stutter) {
    Optional<ObjectFiles> files =
        settings.getDataDirectory().isEmpty()
            ? Optional.empty()
            : Optional.of(new ObjectFiles(Path.of(settings.getDataDirectory())));
    Duration lag = Duration.ofMillis(Durations.toMillis(settings.getVmListLag()));
    VmRegistry vms = new VmRegistry(lag, System::nanoTime, InstantSource.system().millis());
    vms.start(settings.getVmsList());
    PlatformState state = new PlatformState(new ObjectStore(files), vms);
    EventLoopGroup threads = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    AtomicLong connectionCount = new AtomicLong();
    Channel listener =
        new ServerBootstrap()
            .group(threads)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_VALUE_BYTES),
                            new StutteringResponses(stutter, connectionCount.incrementAndGet()),
                            new PlatformHandler(state));
                  }
                })
            .bind(parseAddress(settings.getAddress()))
            .syncUninterruptibly()
            .channel();
    return new PlatformServer(state, threads, connections, listener);
  }

  /** Returns the URL under which the stand-in serves. */
  public URI url() {
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    return URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
  }

  /** Replaces all faults, as a {@code PUT /faults} does. */
  public void setFaults(PlatformFaults faults) {
    state.replaceFaults(faults);
  }

  /** Lists or changes a VM; it shows after the lag. */
  public void putVm(Vm vm) {
    state.vms().put(vm);
  }

  /** Removes a VM from the list; it shows after the lag. */
  public void deleteVm(String name) {
    state.vms().delete(name);
  }

  /** Remembers the present content for {@link #restore}. */
  public void copy() {
    state.copyObjects();
  }

  /**
   * Returns to the content of the last {@link #copy}, as after a restore from a backup: later
   * updates are lost, versions are given out again, and the era rises.
   *
   * @throws IllegalStateException if there is no copy
   */
  public void restore() {
    state.restoreObjects();
  }

  /** Returns the calls since the start. */
  public PlatformStats stats() {
    return state.counts().snapshot();
  }

  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    listener.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly(STOP_SECONDS, TimeUnit.SECONDS);
    threads
        .shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS)
        .awaitUninterruptibly(STOP_SECONDS, TimeUnit.SECONDS);
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException(
          "address must be host:port, as in 127.0.0.1:8700, but is \"" + address + "\"");
    }
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
