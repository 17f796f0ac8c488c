package org.oleanderstep.client.internal;

import java.io.File;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.BasicHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.ssl.DefaultClientTlsStrategy;
import org.apache.hc.client5.http.ssl.TlsSocketStrategy;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.config.RegistryBuilder;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.ssl.SSLContexts;
import org.apache.hc.core5.util.TimeValue;

/**
 * Persistent HTTP connection that sends each call at most once and returns no response that is
 * known to belong to another call.
 *
 * <p>Not thread-safe, except {@link #abort}, which any thread may call.
 */
public final class HttpConnection implements AutoCloseable {

  // A server may close an idle connection at any time; checking after a short idle time avoids most
  // failed calls at the cost of one non-blocking read.
  private static final Duration VALIDATE_AFTER_IDLE = Duration.ofMillis(500);

  private final CloseableHttpClient client;
  private volatile HttpPost activeRequest;

  private HttpConnection(CloseableHttpClient client) {
    this.client = client;
  }

  /** Creates a connection; the network connection is established by the first call. */
  public static HttpConnection open(
      Duration connectTimeout, File trustStore, String trustStorePassword) {
    UnreadData unread = new UnreadData();
    BasicHttpClientConnectionManager connectionManager =
        connectionManager(trustStore, trustStorePassword, unread);
    connectionManager.setConnectionConfig(
        ConnectionConfig.custom()
            .setConnectTimeout(connectTimeout.toMillis(), TimeUnit.MILLISECONDS)
            .setValidateAfterInactivity(TimeValue.ofMilliseconds(VALIDATE_AFTER_IDLE.toMillis()))
            .build());
    return new HttpConnection(
        HttpClients.custom()
            .setConnectionManager(connectionManager)
            .setRequestExecutor(new ResponseMatcher(unread))
            .disableAutomaticRetries()
            .disableRedirectHandling()
            .disableCookieManagement()
            .disableAuthCaching()
            .disableContentCompression()
            .build());
  }

  private static BasicHttpClientConnectionManager connectionManager(
      File trustStore, String password, UnreadData unread) {
    TlsSocketStrategy tls =
        trustStore == null
            ? DefaultClientTlsStrategy.createDefault()
            : new DefaultClientTlsStrategy(tlsContext(trustStore, password));
    return BasicHttpClientConnectionManager.create(
        RegistryBuilder.<TlsSocketStrategy>create().register("https", tls).build(),
        ManagedHttpClientConnectionFactory.builder().responseParserFactory(unread).build());
  }

  private static SSLContext tlsContext(File trustStore, String password) {
    try {
      return SSLContexts.custom()
          .loadTrustMaterial(trustStore, password == null ? null : password.toCharArray())
          .build();
    } catch (GeneralSecurityException | IOException e) {
      throw new IllegalArgumentException("cannot read the truststore " + trustStore, e);
    }
  }

  /**
   * Sends a call once and returns the complete response.
   *
   * @param timeout maximum time to wait for data from the server
   * @throws UnreadDataException if the call was not sent because the server had sent data that no
   *     call asked for; the next call opens a new network connection
   * @throws NotSentException if no byte of the call was sent
   * @throws IOException if the call may have been processed
   */
  public HttpResponse call(URI uri, Map<String, String> headers, byte[] body, Duration timeout)
      throws IOException {
    HttpPost request = new HttpPost(uri);
    headers.forEach(request::setHeader);
    request.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_OCTET_STREAM));
    request.setConfig(
        RequestConfig.custom()
            .setResponseTimeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS)
            .build());
    activeRequest = request;
    try {
      return client.execute(request, HttpConnection::read);
    } catch (ConnectException
        | ConnectTimeoutException
        | UnknownHostException
        | NoRouteToHostException e) {
      throw new NotSentException("cannot connect to " + uri.getAuthority(), e);
    } finally {
      activeRequest = null;
    }
  }

  private static HttpResponse read(ClassicHttpResponse response) throws IOException {
    return new HttpResponse(
        response.getCode(),
        EntityUtils.toByteArray(response.getEntity()),
        name -> {
          var header = response.getFirstHeader(name);
          return header == null ? null : header.getValue();
        });
  }

  /** Aborts the call in progress; meant to be called from another thread. */
  public void abort() {
    HttpPost request = activeRequest;
    if (request != null) {
      request.abort();
    }
  }

  @Override
  public void close() {
    client.close(CloseMode.IMMEDIATE);
  }
}
