package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.google.protobuf.util.Durations;
import org.oleanderstep.schema.v1.DrainRequest;

/** Drains one proxy, which then shuts down. */
@Command(
    name = "drain",
    description = "Stops new work on a proxy and lets work in flight finish; the proxy then stops.")
@Examples(
    examples = {
      "oleanderstep drain --vm vm-3 --platform http://127.0.0.1:8700",
      "oleanderstep drain --proxy 127.0.0.1:8603 --drain-seconds 10"
    },
    descriptions = {
      "Finds the proxy by the platform's list.",
      "Gives open transactions ten seconds."
    })
public final class DrainCommand implements CliCommand {

  @AirlineModule private ProxyOptions proxies = new ProxyOptions();

  @Option(name = "--vm", title = "NAME", description = "VM of the proxy, by the platform's list")
  private String vm;

  @Option(
      name = "--drain-seconds",
      title = "SECONDS",
      description = "time for open transactions; default: the proxy's settings")
  private int drainSeconds = -1;

  @Override
  public ExitCode run(Console console) {
    if ((vm == null) == !proxies.hasAddresses()) {
      throw new CommandException(
          ExitCode.USAGE, "either --vm NAME or --proxy HOST:PORT is required");
    }
    String address =
        vm == null
            ? proxies
                .singleAddress()
                .orElseThrow(
                    () ->
                        new CommandException(
                            ExitCode.USAGE, "drain needs exactly one --proxy HOST:PORT"))
            : proxies.proxyOnVm(vm).address();
    DrainRequest.Builder request = DrainRequest.newBuilder();
    if (drainSeconds >= 0) {
      request.setDrainTime(Durations.fromSeconds(drainSeconds));
    }
    proxies.withCalls(calls -> calls.drain(address, request.build()).join());
    console.out().println("the proxy at " + address + " is draining");
    return ExitCode.OK;
  }
}
