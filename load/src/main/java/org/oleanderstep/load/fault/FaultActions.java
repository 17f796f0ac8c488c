package org.oleanderstep.load.fault;

import com.google.protobuf.util.Durations;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.oleanderstep.load.fleet.Fleet;
import org.oleanderstep.load.fleet.GroupAccess;
import org.oleanderstep.load.fleet.ManagedProcess;
import org.oleanderstep.load.fleet.Relay;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Fault;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.ReadRule;

/** What each kind of fault does to the fleet, and how it is undone. */
final class FaultActions {

  private static final String PRIMARY = "primary/";
  private static final String PLATFORM = "platform";

  /** Longer than the proxies take to replace a primary on a busy machine. */
  private static final Duration PRIMARY_LIMIT = Duration.ofSeconds(15);

  private final Fleet fleet;

  FaultActions(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns the process that a subject names now; waits for a primary that is being replaced. */
  String resolve(String subject) throws InterruptedException {
    if (!subject.startsWith(PRIMARY)) {
      return subject;
    }
    String database = subject.substring(PRIMARY.length());
    return fleet
        .group(database)
        .awaitPrimary(PRIMARY_LIMIT)
        .orElseThrow(
            () ->
                new IllegalStateException(
                    database + " has had no primary for " + PRIMARY_LIMIT.toSeconds() + " s"));
  }

  void begin(Fault fault, String subject) throws IOException, InterruptedException {
    switch (fault.getKind()) {
      case KILL -> fleet.process(subject).kill();
      case TERMINATE -> fleet.process(subject).terminate();
      case FREEZE -> fleet.process(subject).freeze();
      case CUT -> cut(fault, subject);
      case SLOW ->
          platformFaults(
              PlatformFaults.newBuilder().setDelay(Durations.fromMillis(fault.getAmount())));
      case LOSE_ANSWER ->
          platformFaults(PlatformFaults.newBuilder().setLoseAnswers(fault.getAmount()));
      case LAG -> fleet.group(subject).setApplyLag(Duration.ofMillis(fault.getAmount()));
      case WITHDRAW_KEY -> fleet.apply(withoutKey(subject));
      case APPLY -> fleet.apply(withAnotherReadRule());
      default -> throw new IllegalArgumentException("no such fault: " + fault.getKind());
    }
  }

  void end(Fault fault, String subject) throws IOException, InterruptedException {
    switch (fault.getKind()) {
      case KILL -> fleet.restart(fleet.process(subject));
      case TERMINATE -> restartAfterExit(fleet.process(subject));
      case FREEZE -> fleet.process(subject).resume();
      case CUT -> restore(fault, subject);
      case SLOW, LOSE_ANSWER -> platformFaults(PlatformFaults.newBuilder());
      case LAG -> fleet.group(subject).setApplyLag(Duration.ZERO);
      default -> {}
    }
  }

  private void restartAfterExit(ManagedProcess process) throws IOException, InterruptedException {
    Duration limit = Duration.ofSeconds(40);
    if (!process.awaitExit(limit)) {
      throw new IOException(process.name() + " did not stop within " + limit + " of SIGTERM");
    }
    fleet.restart(process);
  }

  private void cut(Fault fault, String subject) {
    if (subject.equals(PLATFORM)) {
      fleet.platformRelay().cut(parties(fault), Relay.Direction.BOTH);
    } else {
      groupOf(subject).cut(subject, fault.getFromList());
    }
  }

  private void restore(Fault fault, String subject) {
    if (subject.equals(PLATFORM)) {
      fleet.platformRelay().restore(parties(fault));
    } else {
      groupOf(subject).restore(subject, fault.getFromList());
    }
  }

  private List<String> parties(Fault fault) {
    return fault.getFromCount() > 0 ? fault.getFromList() : fleet.parties();
  }

  private GroupAccess groupOf(String process) {
    return fleet.databases().stream()
        .map(fleet::group)
        .filter(group -> group.contains(process))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no database has the member " + process));
  }

  private void platformFaults(PlatformFaults.Builder faults)
      throws IOException, InterruptedException {
    fleet.platform().setFaults(faults.build());
  }

  private Declarations withoutKey(String subject) {
    String id = subject.substring("key/".length());
    Declarations.Builder set = fleet.declarations().toBuilder();
    set.getKeysBuilderList().stream()
        .filter(key -> key.getId().equals(id))
        .forEach(key -> key.setWithdrawn(true));
    return set.build();
  }

  private Declarations withAnotherReadRule() {
    Declarations set = fleet.declarations();
    ReadRule rule = ReadRule.newBuilder().setName("rule-" + set.getReadRulesCount()).build();
    return set.toBuilder().addReadRules(rule).build();
  }
}
