package org.oleanderstep.proxy.internal.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.oleanderstep.client.Headers;
import org.oleanderstep.schema.v1.ObjectList;
import org.oleanderstep.schema.v1.VmList;

/**
 * Asynchronous HTTP client of the platform.
 *
 * <pre>{@code
 * client.get("configuration/current").thenAccept(object -> ...);
 * }</pre>
 *
 * <p>Calls without a response are retried within the budget of {@link RetrySettings}. Updates are
 * conditional, so a retried update never takes effect twice, but it may report a conflict with the
 * caller's own earlier attempt; {@link ConditionalPublisher} resolves that.
 *
 * <p>Each call has an id that the platform returns. A response with another id belongs to another
 * call and is not used: a read is sent again, an update counts as one without a response. A
 * platform that returns no ids is trusted to send each response once.
 *
 * <p>The platform may return to an older copy of its objects, and names the count of these events
 * in each response. A version that was read before such an event holds for nothing afterwards: an
 * update that is based on it is a conflict, and a watch from it returns at once. Thread-safe.
 */
public final class PlatformClient {

  private static final String VM_HEADER = "Oleanderstep-Vm";
  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final String ERA_HEADER = "Store-Era";

  /** No object has this version, so that a watch from it returns at once. */
  private static final long NO_VERSION = -1;

  private static final int MIN_SERVER_ERROR = 500;
  private static final int MAX_REPEATED_READS = 3;
  // Meanwhile the HTTP client closes idle connections on which a repeated response arrives.
  private static final Duration REPEAT_PAUSE = Duration.ofMillis(50);

  private final HttpClient http;
  private final URI url;
  private final Duration timeout;
  private final RetrySettings retries;
  private final String vm;
  private final String callIdPrefix = UUID.randomUUID() + "-";
  private final AtomicLong lastCall = new AtomicLong();
  private final AtomicLong era = new AtomicLong();

  /**
   * Creates a client.
   *
   * @param url address of the platform, as in {@code http://10.0.0.5:8700}
   * @param timeout time limit of one attempt
   * @param vm name of the VM that sends the calls, or a name for the operator
   */
  public PlatformClient(URI url, Duration timeout, RetrySettings retries, String vm) {
    this.url = url;
    this.timeout = timeout;
    this.retries = retries;
    this.vm = vm;
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  /** Reads an object; empty if it does not exist. */
  public CompletableFuture<Optional<PlatformObject>> get(String name) {
    return withRetries(
        () ->
            send(name, request(objectPath(name)).GET(), timeout)
                .thenApply(
                    response ->
                        response.statusCode() == NOT_FOUND
                            ? Optional.empty()
                            : Optional.of(object(requireOk(name, response)))));
  }

  /** Creates an object that must not exist yet, and returns its version. */
  public CompletableFuture<Long> create(String name, ByteString value) {
    return update(name, request(objectPath(name)).header("If-None-Match", "*").PUT(body(value)));
  }

  /** Returns how often the platform is known to have returned to an older copy. */
  public long era() {
    return era.get();
  }

  /** Replaces the value of an object that must have the given version; returns the new one. */
  public CompletableFuture<Long> replace(String name, long version, ByteString value) {
    return updateVersion(name, version, request -> request.PUT(body(value)));
  }

  /** Deletes an object that must have the given version. */
  public CompletableFuture<Long> delete(String name, long version) {
    return updateVersion(name, version, HttpRequest.Builder::DELETE);
  }

  private CompletableFuture<Long> updateVersion(
      String name, long version, UnaryOperator<HttpRequest.Builder> operation) {
    ObjectVersion expected = ObjectVersion.of(version);
    HttpRequest.Builder request =
        operation.apply(request(objectPath(name)).header("If-Match", etag(expected.number())));
    return withRetries(
            () ->
                expected.era() == era.get()
                    ? updateOnce(name, request)
                    : CompletableFuture.failedFuture(new PlatformException.Conflict(name)))
        .thenApply(updated -> requireEra(name, expected.era(), updated));
  }

  /** Fails if an update took effect only after the platform returned to an older copy. */
  private static long requireEra(String name, long expected, long updated) {
    if (ObjectVersion.of(updated).era() != expected) {
      throw new PlatformException.Conflict(name);
    }
    return updated;
  }

  /**
   * Waits until the version of an object differs from the given one, at most for the given time. A
   * failed watch is not retried.
   *
   * @param version version that the caller has, or 0 if it has seen no such object
   */
  public CompletableFuture<WatchResult> watch(String name, long version, Duration wait) {
    ObjectVersion held = ObjectVersion.of(version);
    if (version != 0 && held.era() != era.get()) {
      return readPresent(name);
    }
    return watchNumber(name, held.number(), wait)
        .thenCompose(
            response -> {
              boolean restored = response.statusCode() == GONE || held.era() != era.get();
              return version != 0 && restored
                  ? readPresent(name)
                  : CompletableFuture.completedFuture(toWatchResult(name, response));
            });
  }

  private CompletableFuture<WatchResult> readPresent(String name) {
    return watchNumber(name, NO_VERSION, Duration.ZERO)
        .thenApply(response -> toWatchResult(name, response));
  }

  private CompletableFuture<HttpResponse<byte[]>> watchNumber(
      String name, long number, Duration wait) {
    String path =
        objectPath(name) + "?waitAfter=" + number + "&timeoutMs=" + Math.max(1, wait.toMillis());
    return send(name, request(path).GET(), timeout.plus(wait));
  }

  private WatchResult toWatchResult(String name, HttpResponse<byte[]> response) {
    return switch (response.statusCode()) {
      case NOT_MODIFIED -> new WatchResult.Unchanged();
      case NOT_FOUND -> new WatchResult.Deleted();
      default -> new WatchResult.Changed(object(requireOk(name, response)));
    };
  }

  /** Returns the names and versions of the objects under a prefix. */
  public CompletableFuture<ObjectList> list(String prefix) {
    String path = "/objects?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8);
    return readJson(path, ObjectList::newBuilder).thenApply(m -> (ObjectList) m);
  }

  /** Returns the list of VMs. */
  public CompletableFuture<VmList> vms() {
    return readJson("/vms", VmList::newBuilder).thenApply(m -> (VmList) m);
  }

  private CompletableFuture<Message> readJson(String path, Supplier<Message.Builder> newBuilder) {
    return withRetries(
        () ->
            send(path, request(path).GET(), timeout)
                .thenApply(r -> parse(requireOk(path, r), newBuilder.get())));
  }

  private static Message parse(HttpResponse<byte[]> response, Message.Builder builder) {
    try {
      String json = new String(response.body(), StandardCharsets.UTF_8);
      JsonFormat.parser().ignoringUnknownFields().merge(json, builder);
      return builder.build();
    } catch (InvalidProtocolBufferException e) {
      throw new PlatformException.Unavailable("the response cannot be parsed", e);
    }
  }

  private CompletableFuture<Long> update(String name, HttpRequest.Builder request) {
    return withRetries(() -> updateOnce(name, request));
  }

  private CompletableFuture<Long> updateOnce(String name, HttpRequest.Builder request) {
    return send(name, request, timeout).thenApply(r -> version(requireOk(name, r)));
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create(url + path)).header(VM_HEADER, vm);
  }

  private CompletableFuture<HttpResponse<byte[]>> send(
      String name, HttpRequest.Builder request, Duration limit) {
    return send(name, request, limit, MAX_REPEATED_READS);
  }

  /** Sends a call; a read that met the response to another call is sent again. */
  private CompletableFuture<HttpResponse<byte[]>> send(
      String name, HttpRequest.Builder builder, Duration limit, int repeatsLeft) {
    String callId = callIdPrefix + lastCall.incrementAndGet();
    HttpRequest request = builder.setHeader(Headers.CALL, callId).timeout(limit).build();
    return http.sendAsync(request, BodyHandlers.ofByteArray())
        .handle((response, failure) -> accepted(name, callId, response, failure))
        .exceptionallyCompose(
            failure -> {
              boolean read = request.method().equals("GET");
              boolean mixed = rootCause(failure) instanceof PlatformException.OtherCall;
              return mixed && read && repeatsLeft > 0
                  ? CompletableFuture.supplyAsync(() -> null, delayed(REPEAT_PAUSE))
                      .thenCompose(none -> send(name, builder, limit, repeatsLeft - 1))
                  : CompletableFuture.failedFuture(rootCause(failure));
            });
  }

  private HttpResponse<byte[]> accepted(
      String name, String callId, HttpResponse<byte[]> response, Throwable failure) {
    if (failure != null) {
      Throwable cause = rootCause(failure);
      throw new PlatformException.Unavailable(name + ": " + cause, cause);
    }
    String answered = response.headers().firstValue(Headers.CALL).orElse(callId);
    if (!answered.equals(callId)) {
      throw new PlatformException.OtherCall(name);
    }
    if (!observeEra(response)) {
      throw new PlatformException.Unavailable(
          name + ": the response is from before the platform returned to a copy", null);
    }
    if (response.statusCode() >= MIN_SERVER_ERROR) {
      throw new PlatformException.Unavailable(name + ": status " + response.statusCode(), null);
    }
    return response;
  }

  /** Records the era of a response; returns false if a later one is known. */
  private boolean observeEra(HttpResponse<byte[]> response) {
    long named = responseEra(response).orElse(era.get());
    return era.accumulateAndGet(named, Math::max) == named;
  }

  private static OptionalLong responseEra(HttpResponse<byte[]> response) {
    try {
      return response.headers().firstValueAsLong(ERA_HEADER);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static HttpResponse<byte[]> requireOk(String name, HttpResponse<byte[]> response) {
    return switch (response.statusCode()) {
      case OK -> response;
      case NOT_FOUND -> throw new PlatformException.NotFound(name);
      case PRECONDITION_FAILED -> throw new PlatformException.Conflict(name);
      default ->
          throw new PlatformException.Rejected(
              name, response.statusCode(), new String(response.body(), StandardCharsets.UTF_8));
    };
  }

  private <T> CompletableFuture<T> withRetries(Supplier<CompletableFuture<T>> call) {
    return attempt(call, System.nanoTime(), retries.firstDelay());
  }

  private <T> CompletableFuture<T> attempt(
      Supplier<CompletableFuture<T>> call, long firstAttemptNanos, Duration delay) {
    Function<Throwable, CompletableFuture<T>> onFailure =
        failure -> {
          boolean budgetSpent = System.nanoTime() - firstAttemptNanos >= retries.budget().toNanos();
          if (budgetSpent || !(rootCause(failure) instanceof PlatformException.Unavailable)) {
            return CompletableFuture.failedFuture(rootCause(failure));
          }
          Duration next = min(delay.multipliedBy(2), retries.maxDelay());
          return CompletableFuture.supplyAsync(() -> null, delayed(jittered(delay)))
              .thenCompose(ignored -> attempt(call, firstAttemptNanos, next));
        };
    return call.get().exceptionallyCompose(onFailure);
  }

  private static Executor delayed(Duration delay) {
    return CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Returns a random delay between 0.5 and 1.5 times the given one. */
  private static Duration jittered(Duration delay) {
    double factor = 0.5 + ThreadLocalRandom.current().nextDouble();
    return Duration.ofNanos((long) (delay.toNanos() * factor));
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) <= 0 ? a : b;
  }

  /** Returns the exception with which a future of this client failed. */
  static Throwable rootCause(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  private PlatformObject object(HttpResponse<byte[]> response) {
    return new PlatformObject(version(response), ByteString.copyFrom(response.body()));
  }

  private long version(HttpResponse<byte[]> response) {
    String etag = response.headers().firstValue("ETag").orElse("");
    try {
      long number = Long.parseLong(etag.substring(1, etag.length() - 1));
      return new ObjectVersion(responseEra(response).orElse(era.get()), number).pack();
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      throw new PlatformException.Unavailable("the response has no valid ETag: " + etag, e);
    }
  }

  private static HttpRequest.BodyPublisher body(ByteString value) {
    return BodyPublishers.ofByteArray(value.toByteArray());
  }

  /** Returns the path of an object; every character that could end or change a path is encoded. */
  private static String objectPath(String name) {
    String encoded = URLEncoder.encode(name, StandardCharsets.UTF_8);
    return "/objects/" + encoded.replace("+", "%20").replace("%2F", "/");
  }

  private static String etag(long number) {
    return "\"" + number + "\"";
  }
}
