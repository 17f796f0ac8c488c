package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Struct;
import com.google.protobuf.util.Durations;
import com.google.protobuf.util.JsonFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleanderstep.proxy.internal.rpc.PeerCalls;
import org.oleanderstep.schema.v1.DatabaseStatus;
import org.oleanderstep.schema.v1.ProxyStatus;

/** Shows which generation each proxy uses and which member is the primary of each database. */
@Command(
    name = "status",
    description = "Shows the generation in force on each proxy, and the primary of each database.")
@Examples(
    examples = {
      "oleanderstep status --platform http://127.0.0.1:8700",
      "oleanderstep status --proxy 127.0.0.1:8601 --watch"
    },
    descriptions = {
      "Asks all proxies of the platform's list; exits with 4 if one does not answer.",
      "Asks one proxy every second until the command is stopped."
    })
public final class StatusCommand implements CliCommand {

  private static final long WATCH_INTERVAL_MILLIS = 1_000;

  @AirlineModule private ProxyOptions proxies = new ProxyOptions();
  @AirlineModule private OutputOptions output = new OutputOptions();

  @Option(name = "--watch", description = "repeat every second until stopped")
  private boolean watch;

  @Override
  public ExitCode run(Console console) throws InterruptedException {
    return proxies.withCalls(
        calls -> watch ? repeat(calls, console) : queryAndPrint(calls, console));
  }

  private ExitCode repeat(PeerCalls calls, Console console) {
    while (!Thread.currentThread().isInterrupted()) {
      queryAndPrint(calls, console);
      try {
        Thread.sleep(WATCH_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return ExitCode.OK;
  }

  private ExitCode queryAndPrint(PeerCalls calls, Console console) {
    Map<ProxyOptions.Proxy, CompletableFuture<ProxyStatus>> requests = new LinkedHashMap<>();
    for (ProxyOptions.Proxy proxy : proxies.proxies()) {
      requests.put(proxy, calls.status(proxy.address()));
    }
    if (requests.isEmpty()) {
      throw new CommandException(ExitCode.FAILED, "the platform lists no proxy with an address");
    }
    Map<ProxyOptions.Proxy, Optional<ProxyStatus>> responses = new LinkedHashMap<>();
    requests.forEach((proxy, call) -> responses.put(proxy, awaitStatus(call)));
    if (output.json()) {
      console.out().println(toJson(responses));
    } else {
      print(responses, console);
    }
    boolean complete = responses.values().stream().allMatch(Optional::isPresent);
    return complete ? ExitCode.OK : ExitCode.UNAVAILABLE;
  }

  private static Optional<ProxyStatus> awaitStatus(CompletableFuture<ProxyStatus> call) {
    return call.thenApply(Optional::of).exceptionally(error -> Optional.empty()).join();
  }

  private static void print(
      Map<ProxyOptions.Proxy, Optional<ProxyStatus>> responses, Console console) {
    console
        .out()
        .printf("%-20s %-10s %-7s %-8s %s%n", "PROXY", "GENERATION", "SHARES", "STATE", "PLATFORM");
    responses.forEach((proxy, status) -> console.out().println(formatLine(proxy, status)));
    long generations =
        responses.values().stream()
            .flatMap(Optional::stream)
            .map(ProxyStatus::getConfigurationGeneration)
            .distinct()
            .count();
    if (generations > 1) {
      console.out().println("the proxies have different generations in force");
    }
    responses.values().stream()
        .flatMap(Optional::stream)
        .filter(ProxyStatus::getReady)
        .findFirst()
        .ifPresent(status -> status.getDatabasesList().forEach(d -> print(d, console)));
  }

  private static String formatLine(ProxyOptions.Proxy proxy, Optional<ProxyStatus> response) {
    if (response.isEmpty()) {
      return String.format("%-20s does not answer at %s", proxy.name(), proxy.address());
    }
    ProxyStatus status = response.get();
    String state = status.getLeaving() ? "leaving" : status.getReady() ? "ready" : "waiting";
    String contact =
        status.hasPlatformContactAge()
            ? Durations.toMillis(status.getPlatformContactAge()) + " ms ago"
            : "never";
    return String.format(
        "%-20s %-10d %-7d %-8s %s",
        status.getVm(),
        status.getConfigurationGeneration(),
        status.getSharesVersion(),
        state,
        contact);
  }

  private static void print(DatabaseStatus database, Console console) {
    String primary = database.getPrimary().isEmpty() ? "none" : database.getPrimary();
    console
        .out()
        .printf(
            "%s/%s: term %d, primary %s%n",
            database.getService(), database.getDatabase(), database.getTerm(), primary);
  }

  private static Json toJson(Map<ProxyOptions.Proxy, Optional<ProxyStatus>> responses) {
    List<Json> items =
        responses.entrySet().stream()
            .map(
                entry -> {
                  Json item =
                      Json.object()
                          .with("proxy", entry.getKey().name())
                          .with("address", entry.getKey().address())
                          .with("answered", entry.getValue().isPresent());
                  entry.getValue().ifPresent(status -> item.with("status", toStruct(status)));
                  return item;
                })
            .toList();
    return Json.object().with("proxies", items);
  }

  private static Struct toStruct(ProxyStatus status) {
    Struct.Builder fields = Struct.newBuilder();
    try {
      JsonFormat.parser().merge(Json.print(status), fields);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
    return fields.build();
  }
}
