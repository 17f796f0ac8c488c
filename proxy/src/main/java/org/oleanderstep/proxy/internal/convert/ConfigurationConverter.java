package org.oleanderstep.proxy.internal.convert;

import java.time.Instant;
import java.util.Optional;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.configuration.DatabaseDefinition;
import org.oleanderstep.core.configuration.Declarations;
import org.oleanderstep.core.configuration.Key;
import org.oleanderstep.core.configuration.MemberDefinition;
import org.oleanderstep.core.configuration.Objective;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.configuration.ReadRule;
import org.oleanderstep.core.configuration.Route;
import org.oleanderstep.core.configuration.Service;
import org.oleanderstep.schema.v1.PublishedConfiguration;

/** Converts published configurations and their declarations. */
public final class ConfigurationConverter {

  private ConfigurationConverter() {}

  /**
   * Returns the configuration of a publication.
   *
   * @throws IllegalArgumentException if the declarations are invalid
   */
  public static Configuration toCore(PublishedConfiguration published) {
    return new Configuration(
        published.getGeneration(),
        published.getPublicationId(),
        Instant.ofEpochMilli(published.getPublishedAtMs()),
        toCore(published.getDeclarations()));
  }

  /** Returns the declarations of a message without validating them. */
  public static Declarations toCore(org.oleanderstep.schema.v1.Declarations declarations) {
    return new Declarations(
        declarations.getOrganisationsList().stream()
            .map(o -> new Organisation(o.getName(), o.getRatePerSecond(), o.getBurst()))
            .toList(),
        declarations.getKeysList().stream()
            .map(
                k -> new Key(k.getId(), k.getOrganisation(), k.getSecretSha256(), k.getWithdrawn()))
            .toList(),
        declarations.getServicesList().stream().map(ConfigurationConverter::toCore).toList(),
        declarations.getRoutesList().stream().map(ConfigurationConverter::toCore).toList(),
        declarations.getReadRulesList().stream()
            .map(
                r ->
                    new ReadRule(
                        r.getName(),
                        DurationConverter.toCore(r.getMaxAge()),
                        DurationConverter.toCore(r.getMaxWait())))
            .toList(),
        declarations.getObjectivesList().stream().map(ConfigurationConverter::toCore).toList());
  }

  private static Service toCore(org.oleanderstep.schema.v1.Service service) {
    return new Service(
        service.getName(),
        service.getRegion(),
        service.getDatabasesList().stream().map(ConfigurationConverter::toCore).toList());
  }

  private static DatabaseDefinition toCore(org.oleanderstep.schema.v1.Database database) {
    return new DatabaseDefinition(
        database.getName(),
        database.getMembersList().stream()
            .map(
                m ->
                    new MemberDefinition(
                        m.getName(), m.getFailureDomain(), m.getJdbcUrl(), m.getControlAddress()))
            .toList(),
        database.getSlots(),
        database.getConnections());
  }

  private static Route toCore(org.oleanderstep.schema.v1.Route route) {
    return new Route(
        route.getName(),
        route.getService(),
        route.getOrganisationsList(),
        route.getOpen(),
        route.getRequireRequestId(),
        optional(route.getReadRule()));
  }

  private static Objective toCore(org.oleanderstep.schema.v1.Objective objective) {
    return new Objective(
        objective.getName(),
        objective.getService(),
        objective.getOrganisation(),
        toCore(objective.getIndicator()),
        objective.getTarget(),
        objective.hasThreshold()
            ? Optional.of(DurationConverter.toCore(objective.getThreshold()))
            : Optional.empty());
  }

  private static Objective.Indicator toCore(
      org.oleanderstep.schema.v1.Objective.Indicator indicator) {
    return switch (indicator) {
      case REPLICA_READ_SHARE -> Objective.Indicator.REPLICA_READ_SHARE;
      case FAILOVER_GAP -> Objective.Indicator.FAILOVER_GAP;
      case LATENCY -> Objective.Indicator.LATENCY;
      case REFUSED_INSIDE_RATE -> Objective.Indicator.REFUSED_INSIDE_RATE;
      case AVAILABILITY, INDICATOR_UNSPECIFIED, UNRECOGNIZED -> Objective.Indicator.AVAILABILITY;
    };
  }

  private static Optional<String> optional(String text) {
    return text.isEmpty() ? Optional.empty() : Optional.of(text);
  }
}
