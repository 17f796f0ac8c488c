package org.oleanderstep.client;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.apache.calcite.avatica.remote.AuthenticationType;
import org.apache.calcite.avatica.remote.AvaticaHttpClient;
import org.apache.calcite.avatica.remote.TrustStoreConfigurable;
import org.apache.calcite.avatica.remote.UsernamePasswordAuthenticateable;
import org.oleanderstep.client.internal.BasicCredentials;
import org.oleanderstep.client.internal.BodyMatch;
import org.oleanderstep.client.internal.CallInspector;
import org.oleanderstep.client.internal.HttpConnection;
import org.oleanderstep.client.internal.HttpResponse;
import org.oleanderstep.client.internal.NotSentException;

/**
 * HTTP client that a proxy uses for calls to a database member; it never retries a call.
 *
 * <p>The thread that runs a JDBC call sets its deadline and reads the log position of the response
 * through {@link TargetCall}.
 */
// The driver passes the truststore only through this interface, although it is deprecated.
@SuppressWarnings("deprecation")
public final class TargetHttpClient
    implements AvaticaHttpClient, UsernamePasswordAuthenticateable, TrustStoreConfigurable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final URI uri;
  private final Map<String, String> headers = new HashMap<>();
  private HttpConnection connection;
  private File trustStore;
  private String trustStorePassword;

  /** Creates the client of one JDBC connection; called by the driver. */
  public TargetHttpClient(URL url) {
    uri = URI.create(url.toString());
  }

  @Override
  public void setUsernamePassword(AuthenticationType type, String user, String password) {
    headers.put("Authorization", BasicCredentials.header(user, password));
  }

  @Override
  public void setTrustStore(File file, String password) {
    trustStore = file;
    trustStorePassword = password;
  }

  @Override
  public synchronized byte[] send(byte[] request) {
    TargetCall call = TargetCall.current();
    if (connection == null) {
      connection = HttpConnection.open(CONNECT_TIMEOUT, trustStore, trustStorePassword);
    }
    call.onStart(connection);
    try {
      HttpResponse response = connection.call(uri, headers, request, call.remaining());
      if (!response.isAvatica()) {
        throw new IOException(
            "the member returned the unexpected HTTP status " + response.status());
      }
      if (response.header(Headers.CALL).isEmpty()
          && BodyMatch.contradicts(request, response.body())) {
        throw new IOException("the response does not belong to the call");
      }
      call.onResponse(response.header(Headers.GROUP_POSITION));
      return response.body();
    } catch (NotSentException e) {
      throw new UncheckedIOException("cannot connect to the member", e);
    } catch (IOException e) {
      call.onResponseLost();
      throw new UncheckedIOException(
          "the connection to the member was lost before its response arrived", e);
    } finally {
      if (CallInspector.closesConnection(request)) {
        connection.close();
        connection = null;
      }
    }
  }
}
