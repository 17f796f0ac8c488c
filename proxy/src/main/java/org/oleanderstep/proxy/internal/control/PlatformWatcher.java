package org.oleanderstep.proxy.internal.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.membership.PeerTable;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.PlatformObject;
import org.oleanderstep.proxy.internal.platform.WatchResult;
import org.oleanderstep.schema.v1.ObjectHead;
import org.oleanderstep.schema.v1.ShareTable;
import org.oleanderstep.schema.v1.VmList;

/**
 * Reads the state at the platform: once at the start, and continuously while this process is
 * elected as a watcher.
 */
final class PlatformWatcher {

  private static final Logger logger = LogManager.getLogger(PlatformWatcher.class);

  /**
   * A watch confirms the configuration only when it returns, so it returns after at most a quarter
   * of the time for which a configuration is trusted.
   */
  private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(1);

  private static final Duration SHARES_WAIT = Duration.ofSeconds(2);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final String INTENTS = "intent/";

  /** Is notified of VM lists and intents read from the platform. */
  interface Listener {
    void onVmList(VmList list);

    void onIntent(PlatformObject object, String name);
  }

  /** Watches one object by repeated long-poll calls. */
  private abstract class Watch {
    private final String object;
    private final Duration wait;
    private long version;
    private boolean pending;
    private long notBefore = loop.nanoTime();
    private Duration backoff = INITIAL_BACKOFF;

    Watch(String object, Duration wait) {
      this.object = object;
      this.wait = wait;
    }

    void sendIfDue() {
      long now = loop.nanoTime();
      if (pending || now - notBefore < 0) {
        return;
      }
      pending = true;
      loop.onCompletion(platform.watch(object, version, wait), (a, f) -> onResponse(a, f, now));
    }

    private void onResponse(WatchResult response, Throwable failure, long sentAt) {
      pending = false;
      if (failure != null) {
        notBefore = loop.nanoTime() + jittered(backoff);
        backoff = min(backoff.multipliedBy(2), MAX_BACKOFF);
        updateReachable(false, failure.getMessage());
        return;
      }
      backoff = INITIAL_BACKOFF;
      updateReachable(true, "");
      if (response instanceof WatchResult.Changed changed) {
        version = changed.object().version();
        onObject(changed.object());
      } else if (response instanceof WatchResult.Deleted) {
        logger.error("object {} is missing at the platform; the state in force stays", object);
        version = 0;
        onDeleted();
      }
      onConfirmed(sentAt);
      if (isElected()) {
        sendIfDue();
      }
    }

    /** Writes the state in force over an older one, or creates the object that is missing. */
    void writeBack(OptionalLong base, ByteString value) {
      if (!isElected()) {
        return;
      }
      logger.warn("object {} is older at the platform than the state in force", object);
      loop.onCompletion(
          base.isPresent()
              ? platform.replace(object, base.getAsLong(), value)
              : platform.create(object, value),
          (written, failure) -> {
            if (failure == null) {
              logger.info("object {} was written back to the platform", object);
            } else {
              // The next watch returns the object at once, and it is tried again.
              version = 0;
              logger.warn("object {} was not written back: {}", object, failure.toString());
            }
          });
    }

    abstract void onObject(PlatformObject value);

    abstract void onDeleted();

    abstract void onConfirmed(long sentAt);
  }

  private final PlatformClient platform;
  private final ControlLoop loop;
  private final PeerTable peers;
  private final ConfigurationManager configuration;
  private final ShareManager shares;
  private final PlatformEvidence evidence;
  private final Listener listener;
  private final RandomGenerator random;
  private final Watch configurationWatch;
  private final Watch sharesWatch;
  private final Set<String> knownIntents = new HashSet<>();
  private boolean pollingVms;
  private boolean pollingIntents;
  private long loggedEra;
  private boolean elected = true;
  private boolean reachable = true;

  PlatformWatcher(
      PlatformClient platform,
      ControlLoop loop,
      PeerTable peers,
      ConfigurationManager configuration,
      ShareManager shares,
      PlatformEvidence evidence,
      Listener listener,
      RandomGenerator random) {
    this.platform = platform;
    this.loop = loop;
    this.peers = peers;
    this.configuration = configuration;
    this.shares = shares;
    this.evidence = evidence;
    this.listener = listener;
    this.random = random;
    this.configurationWatch = new ConfigurationWatch();
    this.sharesWatch = new SharesWatch();
  }

  private final class ConfigurationWatch extends Watch {
    private long generation;

    ConfigurationWatch() {
      super(ConfigurationStore.OBJECT_NAME, CONFIGURATION_WAIT);
    }

    @Override
    void onObject(PlatformObject value) {
      ConfigurationStore.StoredConfiguration stored = ConfigurationStore.parse(value);
      generation = stored.configuration().getGeneration();
      if (isSetBack(generation, configuration.generation())) {
        writeBack(OptionalLong.of(value.version()), configuration.message().toByteString());
      } else {
        configuration.offer(stored.configuration(), "the platform");
      }
    }

    @Override
    void onDeleted() {
      generation = 0;
      if (configuration.generation() > 0) {
        writeBack(OptionalLong.empty(), configuration.message().toByteString());
      }
    }

    /** The response confirms the generation of the object that was last read. */
    @Override
    void onConfirmed(long sentAt) {
      boolean confirmed = generation > 0 && generation == configuration.generation();
      if (confirmed && evidence.showsNewestConfiguration()) {
        peers.onPlatformContact(sentAt);
      }
    }
  }

  private final class SharesWatch extends Watch {
    SharesWatch() {
      super(ShareManager.OBJECT, SHARES_WAIT);
    }

    @Override
    void onObject(PlatformObject value) {
      try {
        ShareTable table = ShareTable.parseFrom(value.value());
        if (isSetBack(table.getVersion(), shares.version())) {
          writeBack(OptionalLong.of(value.version()), shares.message().toByteString());
        } else {
          shares.onTable(table);
        }
      } catch (InvalidProtocolBufferException e) {
        logger.error("object {} is not a share table", ShareManager.OBJECT);
      }
    }

    @Override
    void onDeleted() {
      if (shares.version() > 0) {
        writeBack(OptionalLong.empty(), shares.message().toByteString());
      }
    }

    @Override
    void onConfirmed(long sentAt) {}
  }

  /**
   * Returns whether the platform may hold an older state than the one in force. On a platform that
   * was never restored, an older answer was only overtaken by a peer.
   */
  private boolean isSetBack(long stored, long inForce) {
    return platform.era() > 0 && stored < inForce;
  }

  boolean isElected() {
    return elected;
  }

  /** Continues or ends the watches according to the result of the election. */
  void tick(boolean nowElected) {
    logEra();
    if (nowElected != elected) {
      logger.info("this process {} the platform", nowElected ? "watches" : "does not watch");
    }
    elected = nowElected;
    if (elected) {
      configurationWatch.sendIfDue();
      sharesWatch.sendIfDue();
    }
  }

  private void logEra() {
    long era = platform.era();
    if (era != loggedEra) {
      logger.warn("the platform has returned to an older copy {} times so far", era);
      loggedEra = era;
    }
  }

  /** Reads the objects and the list of VMs once at the start of the process. */
  void readAll() {
    configurationWatch.sendIfDue();
    sharesWatch.sendIfDue();
    pollVms();
  }

  /** Reads the list of VMs and the intents of operators if this process is elected. */
  void poll() {
    if (elected) {
      pollVms();
      pollIntents();
    }
  }

  private void pollVms() {
    if (pollingVms) {
      return;
    }
    pollingVms = true;
    loop.onCompletion(
        platform.vms(),
        (list, failure) -> {
          pollingVms = false;
          if (failure == null) {
            listener.onVmList(list);
          }
        });
  }

  private void pollIntents() {
    if (pollingIntents) {
      return;
    }
    pollingIntents = true;
    loop.onCompletion(
        platform.list(INTENTS),
        (list, failure) -> {
          pollingIntents = false;
          if (failure == null) {
            list.getObjectsList().forEach(this::readIntent);
          }
        });
  }

  private void readIntent(ObjectHead head) {
    // A platform that has returned to an older copy gives out versions again.
    String id = head.getName() + "@" + platform.era() + "." + head.getVersion();
    if (!knownIntents.add(id)) {
      return;
    }
    loop.onCompletion(
        platform.get(head.getName()),
        (object, failure) -> {
          if (failure != null) {
            knownIntents.remove(id);
          } else {
            object.ifPresent(value -> listener.onIntent(value, head.getName()));
          }
        });
  }

  private void updateReachable(boolean now, String detail) {
    if (reachable != now) {
      if (now) {
        logger.info("the platform answers again");
      } else {
        logger.warn("the platform does not answer: {}", detail);
      }
    }
    reachable = now;
  }

  private long jittered(Duration delay) {
    return (long) (delay.toNanos() * (0.5 + random.nextDouble()));
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) <= 0 ? a : b;
  }
}
