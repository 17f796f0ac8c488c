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

/**
 * Determines the organisation and route of a call. Runs for every call, so that a key is refused as
 * soon as this proxy has the configuration that withdraws it.
 */
final class Authenticator {

  /** Organisation of callers without a key; it has no rate limit. */
  static final OrganisationId ANONYMOUS = new OrganisationId("(open)");

  private static final String REFUSED = "send the id and the secret of a valid key";

  private Authenticator() {}

  /**
   * Returns the identity under which a call runs.
   *
   * @throws OutcomeException if the call is refused
   */
  static CallerIdentity identify(ControlSnapshot snapshot, CallerCall call) {
    Configuration configuration =
        snapshot
            .configuration()
            .filter(current -> snapshot.ready() && snapshot.trusted())
            .orElseThrow(
                () -> OutcomeException.notRun(NotRunReason.NOT_READY, "use another proxy"));
    if (configuration.database(call.database()).isEmpty()) {
      throw OutcomeException.notRun(
          NotRunReason.NOT_ALLOWED, "the service or database does not exist");
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
                        NotRunReason.NOT_ALLOWED,
                        "no route of the service allows this organisation"));
    Optional<Key> key = configuration.key(credentials.keyId());
    return identity(configuration, organisation, key, route);
  }

  private static CallerIdentity withoutKey(Configuration configuration, CallerCall call) {
    Route route =
        configuration
            .openRoute(call.database().service())
            .orElseThrow(() -> OutcomeException.notRun(NotRunReason.KEY_REFUSED, REFUSED));
    return identity(configuration, ANONYMOUS, Optional.empty(), route);
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

  /** Returns whether a key that was accepted earlier is still valid and unchanged. */
  static boolean isStillAccepted(Configuration configuration, Key accepted) {
    return configuration.key(accepted.id()).filter(accepted::equals).isPresent();
  }
}
