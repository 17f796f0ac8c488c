package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.oleanderstep.proxy.internal.rpc.Channels;
import org.oleanderstep.proxy.internal.rpc.PeerCalls;
import org.oleanderstep.proxy.internal.rpc.TlsContexts;
import org.oleanderstep.proxy.internal.settings.HostPort;
import org.oleanderstep.schema.v1.TlsSettings;
import org.oleanderstep.schema.v1.Vm;
import org.oleanderstep.schema.v1.VmKind;

/**
 * Command-line options that select the proxies of a command and the TLS files for calls to them.
 */
public class ProxyOptions {

  @Option(
      name = "--proxy",
      title = "HOST:PORT",
      description = "peer address of a proxy; may be repeated; default: the platform's list")
  private List<String> addresses = new ArrayList<>();

  @Option(name = "--tls-certificate", title = "FILE", description = "PEM file of the operator")
  private String certificateFile = "";

  @Option(name = "--tls-key", title = "FILE", description = "PEM file with the private key")
  private String privateKeyFile = "";

  @Option(name = "--tls-trust", title = "FILE", description = "PEM file of trusted certificates")
  private String trustedFile = "";

  @AirlineModule private PlatformOptions platform = new PlatformOptions();

  /** Proxy with its address and its name, which is the address if the name is unknown. */
  record Proxy(String name, String address) {}

  PlatformOptions platform() {
    return platform;
  }

  boolean hasAddresses() {
    return !addresses.isEmpty();
  }

  /** Returns the proxies given by address, or else all that the platform lists. */
  List<Proxy> proxies() {
    if (!addresses.isEmpty()) {
      addresses.forEach(ProxyOptions::requireValidAddress);
      return addresses.stream().map(a -> new Proxy(a, a)).toList();
    }
    if (!platform.isGiven()) {
      throw new CommandException(ExitCode.USAGE, "--proxy HOST:PORT or --platform URL is required");
    }
    return platform.client().vms().join().getVmsList().stream()
        .filter(vm -> vm.getKind() == VmKind.ENTRY && !vm.getPeerAddress().isEmpty())
        .map(vm -> new Proxy(vm.getName(), vm.getPeerAddress()))
        .toList();
  }

  /** Returns the proxy on the VM that the platform lists under the given name. */
  Proxy proxyOnVm(String name) {
    if (!platform.isGiven()) {
      throw new CommandException(
          ExitCode.USAGE, "--platform URL is required to find the address of VM " + name);
    }
    return platform.client().vms().join().getVmsList().stream()
        .filter(vm -> vm.getName().equals(name))
        .map(Vm::getPeerAddress)
        .filter(address -> !address.isEmpty())
        .map(address -> new Proxy(name, address))
        .findFirst()
        .orElseThrow(
            () ->
                new CommandException(
                    ExitCode.FAILED, "the platform lists no VM " + name + " with an address"));
  }

  private static void requireValidAddress(String address) {
    if (HostPort.parse(address).isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE, "--proxy: \"" + address + "\" is not an address; write host:port");
    }
  }

  /** Runs an action that calls proxies, and closes the connections afterwards. */
  <T> T withCalls(Function<PeerCalls, T> action) {
    EventLoopGroup eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (Channels channels = new Channels(eventLoop, TlsContexts.client(tls()))) {
      return action.apply(new PeerCalls(channels));
    } catch (CompletionException e) {
      if (e.getCause() instanceof io.grpc.StatusRuntimeException failure) {
        throw toCommandException(failure);
      }
      throw e;
    } finally {
      eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1_000);
    }
  }

  private static CommandException toCommandException(io.grpc.StatusRuntimeException failure) {
    String detail = failure.getStatus().getDescription();
    return switch (failure.getStatus().getCode()) {
      case UNAVAILABLE, DEADLINE_EXCEEDED ->
          new CommandException(ExitCode.UNAVAILABLE, "the proxy did not respond: " + detail);
      default -> new CommandException(ExitCode.FAILED, "the proxy rejected the call: " + detail);
    };
  }

  private TlsSettings tls() {
    return TlsSettings.newBuilder()
        .setEnabled(!certificateFile.isEmpty())
        .setCertificateFile(certificateFile)
        .setPrivateKeyFile(privateKeyFile)
        .setTrustedCertificatesFile(trustedFile)
        .build();
  }

  Optional<String> singleAddress() {
    return addresses.size() == 1 ? Optional.of(addresses.get(0)) : Optional.empty();
  }
}
