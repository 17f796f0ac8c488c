package org.oleanderstep.proxy.internal.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.configuration.Key;
import org.oleanderstep.core.configuration.KeyVerification;
import org.oleanderstep.core.configuration.KeyVerifier;
import org.oleanderstep.core.configuration.Route;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.routing.ReadRule;
import org.oleanderstep.proxy.internal.target.OutcomeException;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;

/** Finds the organisation and the route of a call, for each call anew. */
final class Authenticator {

  /** Organisation of callers without a key; it has no rate. */
  static final OrganisationId WITHOUT_KEY = new OrganisationId("(open)");

  private static final String REFUSED = "give the id and the secret of a valid key";

  private Authenticator() {}

  /** Returns for whom a call runs, or throws an {@link OutcomeException}. */
  static CallerIdentity identify(ControlSnapshot snapshot, CallerCall call) {
    Configuration configuration =
        snapshot
            .configuration()
            .filter(held -> snapshot.ready() && snapshot.trusted())
            .orElseThrow(
                () -> OutcomeException.notRun(NotRunReason.NOT_READY, "use another proxy"));
    if (configuration.database(call.database()).isEmpty()) {
      throw OutcomeException.notRun(NotRunReason.NOT_ALLOWED, "no such service or database");
    }
    return call.credentials().isPresent()
        ? withKey(configuration, call, call.credentials().get())
        : withoutKey(configuration, call);
  }

  private static CallerIdentity withKey(
      Configuration configuration, CallerCall call, CallerCall.Credentials credentials) {
    KeyVerification verification =
        KeyVerifier.verify(
            configuration,
            credentials.keyId(),
            credentials.secret().getBytes(StandardCharsets.UTF_8));
    OrganisationId organisation =
        verification
            .organisation()
            .orElseThrow(() -> OutcomeException.notRun(NotRunReason.KEY_REFUSED, REFUSED));
    Route route =
        configuration
            .route(call.database().service(), organisation)
            .orElseThrow(
                () ->
                    OutcomeException.notRun(
                        NotRunReason.NOT_ALLOWED, "no route of the service names it"));
    Optional<Key> key = configuration.key(credentials.keyId());
    return identity(configuration, organisation, key, route);
  }

  private static CallerIdentity withoutKey(Configuration configuration, CallerCall call) {
    Route route =
        configuration
            .openRoute(call.database().service())
            .orElseThrow(() -> OutcomeException.notRun(NotRunReason.KEY_REFUSED, REFUSED));
    return identity(configuration, WITHOUT_KEY, Optional.empty(), route);
  }

  private static CallerIdentity identity(
      Configuration configuration, OrganisationId organisation, Optional<Key> key, Route route) {
    ReadRule rule =
        configuration
            .readRule(route)
            .map(declared -> toRule(declared.maxAge(), declared.maxWait()))
            .orElse(ReadRule.SESSION);
    return new CallerIdentity(organisation, key, key.isPresent(), route.requireRequestId(), rule);
  }

  private static ReadRule toRule(Duration maxAge, Duration maxWait) {
    return new ReadRule(Optional.of(maxAge), maxWait);
  }

  /** Returns whether a key that was accepted before still is. */
  static boolean stillAccepted(Configuration configuration, Key accepted) {
    return configuration.key(accepted.id()).filter(accepted::equals).isPresent();
  }
}
