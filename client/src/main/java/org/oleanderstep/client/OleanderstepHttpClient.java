package org.oleanderstep.client;

import com.google.protobuf.ByteString;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.remote.AuthenticationType;
import org.apache.calcite.avatica.remote.AvaticaHttpClient;
import org.apache.calcite.avatica.remote.TrustStoreConfigurable;
import org.apache.calcite.avatica.remote.UsernamePasswordAuthenticateable;
import org.oleanderstep.client.internal.BasicCredentials;
import org.oleanderstep.client.internal.BodyMatch;
import org.oleanderstep.client.internal.CallInspector;
import org.oleanderstep.client.internal.CallKind;
import org.oleanderstep.client.internal.ErrorResponses;
import org.oleanderstep.client.internal.HttpConnection;
import org.oleanderstep.client.internal.HttpResponse;
import org.oleanderstep.client.internal.NotSentException;
import org.oleanderstep.client.internal.ProxyAddresses;
import org.oleanderstep.client.internal.UnreadDataException;

/**
 * HTTP client of applications; each instance serves one JDBC connection. Calls from several threads
 * run one after the other.
 *
 * <p>Set this class as {@code httpclient_impl} of the standard Avatica driver; the package
 * documentation has an example. The URL accepts these options in its query string: {@code proxies}
 * lists further proxies as {@code host:port}, {@code timeoutMs} limits each call, and {@code
 * requestIds=always} gives a random request id to each call that may write. {@code callsPerProxy}
 * moves the connection to the next proxy after that many calls, which balances long-lived
 * connections; use it only if each result fits into one response, since a cursor cannot move to
 * another proxy.
 *
 * <p>The driver sends a changed auto-commit mode only when it creates or prepares a statement. Call
 * {@code connection.getAutoCommit()} after {@code setAutoCommit(false)} if the transaction uses
 * statements that were prepared before; it makes the driver send the mode. Otherwise the proxy
 * rejects the commit with SQLSTATE 25P01.
 *
 * <p>A call is retried at the next proxy only if no byte of it was sent, if the proxy is shutting
 * down and has not run it, if it is a read outside a transaction, or if it carries a request id.
 * Otherwise a call without a response fails with SQLSTATE 08007 when it may have changed data,
 * 40001 when its transaction was lost with the connection to the proxy, and 08006 for other reads.
 * A call that was not sent at all fails with 08001.
 */
// The driver passes the truststore only through this interface, although it is deprecated.
@SuppressWarnings("deprecation")
public final class OleanderstepHttpClient
    implements AvaticaHttpClient, UsernamePasswordAuthenticateable, TrustStoreConfigurable {

  private static final int MAX_STATEMENT_HEADER = 16 << 10;
  private static final String TRANSACTION_ROLLED_BACK = "40001";
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  // The proxy responds by the deadline at the latest; this allows for the network transfer.
  private static final Duration RESPONSE_GRACE = Duration.ofSeconds(1);

  private final ReentrantLock lock = new ReentrantLock();
  private final ProxyAddresses proxies;
  private final CallInspector inspector = new CallInspector();
  private HttpConnection connection;
  private File trustStore;
  private String trustStorePassword;
  private String authorization;
  private int currentProxyIndex;
  private String sessionToken;
  private boolean hasUnknownWrite;
  private boolean transactionStarted;
  private boolean transactionLost;
  private int callsToCurrentProxy;

  /** Creates the client of one JDBC connection; called by the driver. */
  public OleanderstepHttpClient(URL url) {
    proxies = ProxyAddresses.parse(url);
  }

  @Override
  public void setUsernamePassword(AuthenticationType type, String user, String password) {
    if (type != AuthenticationType.BASIC) {
      throw new IllegalArgumentException(
          "the proxy accepts keys only by BASIC authentication, but got " + type);
    }
    authorization = BasicCredentials.header(user, password);
  }

  @Override
  public void setTrustStore(File file, String password) {
    trustStore = file;
    trustStorePassword = password;
  }

  @Override
  public byte[] send(byte[] request) {
    lock.lock();
    try {
      CallKind kind = inspector.inspect(request);
      if (transactionLost) {
        Optional<byte[]> lostTransactionResponse = responseAfterLostTransaction(kind);
        if (lostTransactionResponse.isPresent()) {
          return lostTransactionResponse.get();
        }
      }
      Optional<String> requestId = requestId(kind);
      boolean retryable = kind == CallKind.REPEATABLE || requestId.isPresent();
      switchProxyIfDue(kind);
      return sendWithRetries(request, kind, requestId, retryable);
    } finally {
      if (connection != null && CallInspector.closesConnection(request)) {
        connection.close();
        connection = null;
      }
      lock.unlock();
    }
  }

  private void switchProxyIfDue(CallKind kind) {
    callsToCurrentProxy++;
    boolean independent = kind == CallKind.REPEATABLE || kind == CallKind.WRITE;
    boolean canSwitch = independent && inspector.properties().getAutoCommit();
    if (canSwitch && proxies.callsPerProxy() > 0 && callsToCurrentProxy > proxies.callsPerProxy()) {
      switchToNextProxy();
    }
  }

  private Optional<byte[]> responseAfterLostTransaction(CallKind kind) {
    if (kind == CallKind.ROLLBACK) {
      transactionLost = false;
      return Optional.empty();
    }
    if (kind == CallKind.COMMIT) {
      transactionLost = false;
      return Optional.of(transactionLostResponse());
    }
    return kind == CallKind.IN_TRANSACTION
        ? Optional.of(transactionLostResponse())
        : Optional.empty();
  }

  private static byte[] transactionLostResponse() {
    return ErrorResponses.create(
        "40001",
        "the transaction was rolled back because the connection to its proxy was lost;"
            + " roll back and retry it");
  }

  private Optional<String> requestId(CallKind kind) {
    if (!kind.mayHaveCommitted()) {
      return Optional.empty();
    }
    Optional<String> scopedId = RequestIds.current();
    if (scopedId.isEmpty() && proxies.requestIdOnEveryWrite()) {
      return Optional.of(UUID.randomUUID().toString());
    }
    return scopedId;
  }

  private byte[] sendWithRetries(
      byte[] request, CallKind kind, Optional<String> requestId, boolean retryable) {
    long deadline = System.nanoTime() + proxies.timeout().toNanos();
    boolean earlierAttemptSent = false;
    for (int attempt = 0; attempt < proxies.uris().size(); attempt++) {
      long remaining = deadline - System.nanoTime();
      if (remaining <= 0) {
        break;
      }
      URI uri = proxies.uris().get(currentProxyIndex);
      try {
        HttpResponse response = call(uri, headers(requestId, remaining), request, remaining);
        boolean lastAttempt = attempt == proxies.uris().size() - 1;
        if (!lastAttempt && !transactionStarted && response.isStopping()) {
          switchToNextProxy();
          continue;
        }
        HttpResponse finalResponse =
            resendWithStatementText(uri, response, request, requestId, deadline);
        requireMatch(request, finalResponse);
        byte[] body = processResponse(finalResponse, kind);
        return earlierAttemptSent && leavesEarlierCallUnknown(kind, body)
            ? lostResponseError(kind)
            : body;
      } catch (NotSentException e) {
        switchToNextProxy();
      } catch (IOException e) {
        earlierAttemptSent = true;
        switchToNextProxy();
        if (kind.mayHaveCommitted()) {
          hasUnknownWrite = true;
        }
        if (!retryable) {
          break;
        }
      }
    }
    return earlierAttemptSent ? lostResponseError(kind) : notSentError(kind);
  }

  /**
   * Returns whether the response to a retried call does not tell whether the earlier attempt has
   * run. An error concerns the retry alone, except for a commit that turned out to be rolled back.
   */
  private static boolean leavesEarlierCallUnknown(CallKind kind, byte[] response) {
    String state = ErrorResponses.sqlState(response);
    boolean rolledBack = kind == CallKind.COMMIT && state.equals(TRANSACTION_ROLLED_BACK);
    return kind.mayHaveCommitted() && !state.isEmpty() && !rolledBack;
  }

  /**
   * Sends the call again with the SQL text if the proxy has not run it because it does not know the
   * prepared statement.
   */
  private HttpResponse resendWithStatementText(
      URI uri, HttpResponse response, byte[] request, Optional<String> requestId, long deadline)
      throws IOException {
    Optional<String> sql =
        inspector
            .textOfMissingStatement(response.body())
            .filter(OleanderstepHttpClient::fitsIntoHeader);
    long remaining = deadline - System.nanoTime();
    if (sql.isEmpty() || remaining <= 0) {
      return response;
    }
    Map<String, String> headers = headers(requestId, remaining);
    headers.put(
        Headers.STATEMENT,
        Base64.getUrlEncoder()
            .withoutPadding()
            .encodeToString(sql.get().getBytes(StandardCharsets.UTF_8)));
    return call(uri, headers, request, remaining);
  }

  /** Sends a call; uses a new network connection if the open one has data that nobody asked for. */
  private HttpResponse call(URI uri, Map<String, String> headers, byte[] request, long remaining)
      throws IOException {
    try {
      return connection().call(uri, headers, request, responseTimeout(remaining));
    } catch (UnreadDataException e) {
      return connection().call(uri, headers, request, responseTimeout(remaining));
    }
  }

  private static boolean fitsIntoHeader(String sql) {
    return sql.length() <= MAX_STATEMENT_HEADER;
  }

  private static Duration responseTimeout(long remainingNanos) {
    return Duration.ofNanos(remainingNanos).plus(RESPONSE_GRACE);
  }

  /** Fails if the response of a proxy that does not name the call belongs to another call. */
  private void requireMatch(byte[] request, HttpResponse response) throws IOException {
    if (response.isAvatica()
        && response.header(Headers.CALL).isEmpty()
        && BodyMatch.contradicts(request, response.body())) {
      connection.close();
      connection = null;
      throw new IOException("the response does not belong to the call");
    }
  }

  private byte[] processResponse(HttpResponse response, CallKind kind) throws IOException {
    if (!response.isAvatica()) {
      throw new IOException("the proxy returned the unexpected HTTP status " + response.status());
    }
    response
        .header(Headers.SESSION)
        .ifPresent(
            token -> {
              sessionToken = token;
              hasUnknownWrite = false;
            });
    if (kind == CallKind.IN_TRANSACTION && response.status() == 200) {
      transactionStarted = true;
    } else if (kind == CallKind.COMMIT || kind == CallKind.ROLLBACK) {
      transactionStarted = false;
    }
    inspector.onResponse(response.body());
    return response.body();
  }

  private byte[] lostResponseError(CallKind kind) {
    return switch (kind) {
      case WRITE, COMMIT ->
          ErrorResponses.create(
              "08007",
              "the outcome is unknown: the connection to the proxy was lost after the call was"
                  + " sent; retry it with the same request id, or check the data");
      case IN_TRANSACTION -> {
        transactionLost = true;
        yield transactionLostResponse();
      }
      case REPEATABLE, READ_ONLY, ROLLBACK ->
          ErrorResponses.create(
              "08006", "the connection to the proxy was lost during a call that changes no data");
    };
  }

  private byte[] notSentError(CallKind kind) {
    if (kind == CallKind.IN_TRANSACTION) {
      transactionLost = true;
    }
    return ErrorResponses.create(
        "08001",
        "not run: none of the " + proxies.uris().size() + " proxies accepted a connection");
  }

  private HttpConnection connection() {
    if (connection == null) {
      connection = HttpConnection.open(CONNECT_TIMEOUT, trustStore, trustStorePassword);
    }
    return connection;
  }

  private void switchToNextProxy() {
    currentProxyIndex = (currentProxyIndex + 1) % proxies.uris().size();
    callsToCurrentProxy = 0;
  }

  private Map<String, String> headers(Optional<String> requestId, long remainingNanos) {
    Map<String, String> headers = new LinkedHashMap<>();
    if (authorization != null) {
      headers.put("Authorization", authorization);
    }
    if (sessionToken != null) {
      headers.put(Headers.SESSION, sessionToken);
    }
    if (hasUnknownWrite) {
      headers.put(Headers.UNKNOWN_WRITE, "1");
    }
    requestId.ifPresent(id -> headers.put(Headers.REQUEST_ID, id));
    headers.put(Headers.DEADLINE_MS, Long.toString(Math.max(1, remainingNanos / 1_000_000)));
    headers.put(Headers.CONNECTION, encode(inspector.properties()));
    return headers;
  }

  private static String encode(Common.ConnectionProperties properties) {
    ByteString bytes = properties.toByteString();
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.toByteArray());
  }
}
