package org.oleanderstep.standins.platform;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.oleanderstep.schema.v1.ObjectHead;
import org.oleanderstep.schema.v1.ObjectList;

/**
 * Named values with versions. Versions come from one counter, so a name that is deleted and created
 * again never gets a version twice, unless the store returns to an older copy.
 */
final class ObjectStore {

  private final Map<String, StoredObject> objects = new TreeMap<>();
  private final Map<String, List<CompletableFuture<Optional<StoredObject>>>> watches =
      new HashMap<>();
  private final Optional<ObjectFiles> files;
  private long lastVersion;
  private long era;

  /** The content of a store at some time, to which it can return. */
  record Copy(Map<String, StoredObject> objects, long lastVersion) {

    Copy {
      objects = Map.copyOf(objects);
    }
  }

  /** Creates a store that reads what the files hold; without files it starts empty. */
  ObjectStore(Optional<ObjectFiles> files) {
    this.files = files;
    files.ifPresent(f -> objects.putAll(f.readAll()));
    lastVersion = files.map(ObjectFiles::readLastVersion).orElse(0L);
    objects.values().forEach(o -> lastVersion = Math.max(lastVersion, o.version()));
    era = files.map(ObjectFiles::readEra).orElse(0L);
  }

  /** Returns how often the store has returned to an older copy. */
  synchronized long era() {
    return era;
  }

  synchronized Copy copy() {
    return new Copy(objects, lastVersion);
  }

  /**
   * Returns to a copy: later updates are lost, versions are given out again, and waiting watches
   * are cancelled.
   */
  void restore(Copy copy) {
    List<CompletableFuture<Optional<StoredObject>>> waiting = new ArrayList<>();
    synchronized (this) {
      era++;
      lastVersion = copy.lastVersion();
      objects.clear();
      objects.putAll(copy.objects());
      files.ifPresent(f -> f.replaceAll(objects, lastVersion, era));
      watches.values().forEach(waiting::addAll);
      watches.clear();
    }
    waiting.forEach(w -> w.completeExceptionally(new HistoryGoneException()));
  }

  synchronized Optional<StoredObject> get(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  synchronized ObjectList list(String prefix) {
    ObjectList.Builder list = ObjectList.newBuilder();
    objects.forEach(
        (name, object) -> {
          if (name.startsWith(prefix)) {
            list.addObjects(
                ObjectHead.newBuilder()
                    .setName(name)
                    .setVersion(object.version())
                    .setBytes(object.value().size()));
          }
        });
    return list.build();
  }

  UpdateResult put(String name, Condition condition, ByteString value) {
    StoredObject updated;
    List<CompletableFuture<Optional<StoredObject>>> waiting;
    synchronized (this) {
      Optional<Long> present = get(name).map(StoredObject::version);
      if (!condition.holds(present)) {
        return new UpdateResult.Conflict(present);
      }
      updated = new StoredObject(lastVersion + 1, value);
      if (files.isPresent()) {
        files.get().write(name, updated, updated.version());
      }
      lastVersion = updated.version();
      objects.put(name, updated);
      waiting = takeWatches(name);
    }
    waiting.forEach(w -> w.complete(Optional.of(updated)));
    return new UpdateResult.Updated(updated.version());
  }

  UpdateResult delete(String name, Condition condition) {
    long version;
    List<CompletableFuture<Optional<StoredObject>>> waiting;
    synchronized (this) {
      Optional<Long> present = get(name).map(StoredObject::version);
      if (present.isEmpty() || !condition.holds(present)) {
        return new UpdateResult.Conflict(present);
      }
      version = lastVersion + 1;
      if (files.isPresent()) {
        files.get().delete(name, version);
      }
      lastVersion = version;
      objects.remove(name);
      waiting = takeWatches(name);
    }
    waiting.forEach(w -> w.complete(Optional.empty()));
    return new UpdateResult.Updated(version);
  }

  /**
   * Returns a future that completes when the object differs from the given version: with the newer
   * object, or empty when it was deleted. Version 0 stands for an object that does not exist. Fails
   * with {@link HistoryGoneException} for a version that the store does not have, or when the store
   * returns to an older copy.
   */
  synchronized CompletableFuture<Optional<StoredObject>> watch(String name, long version) {
    if (version > lastVersion) {
      return CompletableFuture.failedFuture(new HistoryGoneException());
    }
    Optional<StoredObject> present = get(name);
    if (present.map(StoredObject::version).orElse(0L) != version) {
      return CompletableFuture.completedFuture(present);
    }
    CompletableFuture<Optional<StoredObject>> watch = new CompletableFuture<>();
    watches.computeIfAbsent(name, n -> new ArrayList<>()).add(watch);
    return watch;
  }

  /** Forgets a watch whose caller does not wait any more. */
  synchronized void cancel(String name, CompletableFuture<Optional<StoredObject>> watch) {
    List<CompletableFuture<Optional<StoredObject>>> waiting = watches.get(name);
    if (waiting != null) {
      waiting.removeIf(w -> w == watch);
    }
  }

  private List<CompletableFuture<Optional<StoredObject>>> takeWatches(String name) {
    List<CompletableFuture<Optional<StoredObject>>> waiting = watches.remove(name);
    return waiting == null ? List.of() : waiting;
  }
}
