package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.oleanderstep.schema.v1.FailoverReply;
import org.oleanderstep.schema.v1.FailoverRequest;

/** Moves the primary of a database to another member. */
@Command(
    name = "failover",
    description = "Moves the primary of a database to another member, and waits for the result.")
@Examples(
    examples =
        "oleanderstep failover --database carrom-main/orders --to orders-2 --proxy 127.0.0.1:8601",
    descriptions = "Exits with 1 and names the reason if the primary was not moved.")
public final class FailoverCommand implements CliCommand {

  @AirlineModule private ProxyOptions proxies = new ProxyOptions();
  @AirlineModule private OutputOptions output = new OutputOptions();

  @Option(name = "--database", title = "SERVICE/DATABASE", description = "database to change")
  @Required
  private String database;

  @Option(
      name = "--to",
      title = "MEMBER",
      description = "member to promote; default: the most advanced other member")
  private String member = "";

  @Override
  public ExitCode run(Console console) {
    int slash = database.indexOf('/');
    if (slash < 1 || slash == database.length() - 1) {
      throw new CommandException(
          ExitCode.USAGE, "--database: write SERVICE/DATABASE, as in carrom-main/orders");
    }
    FailoverRequest request =
        FailoverRequest.newBuilder()
            .setService(database.substring(0, slash))
            .setDatabase(database.substring(slash + 1))
            .setMember(member)
            .build();
    List<ProxyOptions.Proxy> candidates = proxies.proxies();
    if (candidates.isEmpty()) {
      throw new CommandException(ExitCode.FAILED, "the platform lists no proxy with an address");
    }
    // Any proxy can request the change; requests at several proxies would only delay it.
    FailoverReply reply =
        proxies.withCalls(calls -> calls.failover(candidates.get(0).address(), request).join());
    if (output.json()) {
      console.out().println(Json.print(reply));
    } else if (reply.getDone()) {
      console
          .out()
          .println(
              database + ": member " + reply.getPrimary() + " is primary, term " + reply.getTerm());
    } else {
      console.err().println(database + ": the primary was not moved: " + reply.getDetail());
    }
    return reply.getDone() ? ExitCode.OK : ExitCode.FAILED;
  }
}
