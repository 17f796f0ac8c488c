package org.oleanderstep.proxy.internal.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.configuration.AdoptionResult;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.configuration.ConfigurationAdopter;
import org.oleanderstep.core.configuration.Key;
import org.oleanderstep.proxy.internal.convert.ConfigurationConverter;
import org.oleanderstep.schema.v1.PublishedConfiguration;

/** Holds the current configuration and its message, which peers can pull. */
final class ConfigurationManager {

  private static final Logger logger = LogManager.getLogger(ConfigurationManager.class);

  /** Is notified when a configuration is adopted. */
  interface Listener {
    void onConfiguration(Configuration configuration);
  }

  private final ConfigurationAdopter adopter = new ConfigurationAdopter();
  private final List<Listener> listeners = new ArrayList<>();
  private PublishedConfiguration message = PublishedConfiguration.getDefaultInstance();

  void addListener(Listener listener) {
    listeners.add(listener);
  }

  Optional<Configuration> current() {
    return adopter.current();
  }

  long generation() {
    return adopter.generation();
  }

  boolean isBehind(long generation) {
    return adopter.isBehind(generation);
  }

  PublishedConfiguration message() {
    return message;
  }

  /** Adopts a publication from the platform or a peer if it is newer than the current one. */
  void offer(PublishedConfiguration offered, String source) {
    if (offered.getGeneration() < adopter.generation()) {
      return;
    }
    Optional<Configuration> previous = adopter.current();
    AdoptionResult result;
    try {
      result = adopter.offer(ConfigurationConverter.toCore(offered));
    } catch (IllegalArgumentException e) {
      logger.error(
          "generation {} from {} is invalid and was not adopted: {}",
          offered.getGeneration(),
          source,
          e.getMessage());
      return;
    }
    if (result instanceof AdoptionResult.Adopted adopted) {
      message = offered;
      logAdoption(adopted, previous, source);
      listeners.forEach(listener -> listener.onConfiguration(adopted.configuration()));
    } else if (result instanceof AdoptionResult.Conflict conflict) {
      logger.error(
          "{} offers another publication of generation {}; the one in force stays",
          source,
          conflict.generation());
    }
  }

  private static void logAdoption(
      AdoptionResult.Adopted adopted, Optional<Configuration> previous, String source) {
    logger.info(
        "configuration generation {} is in force, from {}",
        adopted.configuration().generation(),
        source);
    TreeSet<String> organisations = new TreeSet<>();
    for (String id : adopted.diff().keysWithdrawn()) {
      previous.flatMap(b -> b.key(id)).map(Key::organisation).ifPresent(organisations::add);
    }
    for (String organisation : organisations) {
      logger.info(
          "a key of organisation {} is withdrawn with generation {}",
          organisation,
          adopted.configuration().generation());
    }
  }
}
