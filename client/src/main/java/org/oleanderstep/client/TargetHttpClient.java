package org.oleanderstep.client;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import org.apache.calcite.avatica.remote.AuthenticationType;
import org.apache.calcite.avatica.remote.AvaticaHttpClient;
import org.apache.calcite.avatica.remote.TrustStoreConfigurable;
import org.apache.calcite.avatica.remote.UsernamePasswordAuthenticateable;
import org.oleanderstep.client.internal.Answer;
import org.oleanderstep.client.internal.CallInspector;
import org.oleanderstep.client.internal.HttpLine;
import org.oleanderstep.client.internal.NotSentException;

/**
 * The HTTP client of a proxy on the way to a database member; never sends a call twice.
 *
 * <p>The thread that runs a JDBC call sets its deadline and reads the log position of the answer
 * through {@link TargetCall}.
 */
// The driver hands the truststore over through this interface only, although it is deprecated.
@SuppressWarnings("deprecation")
public final class TargetHttpClient
    implements AvaticaHttpClient, UsernamePasswordAuthenticateable, TrustStoreConfigurable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final URI uri;
  private final Map<String, String> headers = new HashMap<>();
  private HttpLine line;
  private File trustStore;
  private String trustStorePassword;

  /** Creates the client of one JDBC connection; called by the driver. */
  public TargetHttpClient(URL url) {
    uri = URI.create(url.toString());
  }

  @Override
  public void setUsernamePassword(AuthenticationType type, String user, String password) {
    headers.put(
        "Authorization",
        "Basic "
            + Base64.getEncoder()
                .encodeToString((user + ":" + password).getBytes(StandardCharsets.UTF_8)));
  }

  @Override
  public void setTrustStore(File file, String password) {
    trustStore = file;
    trustStorePassword = password;
  }

  @Override
  public synchronized byte[] send(byte[] request) {
    TargetCall call = TargetCall.current();
    if (line == null) {
      line = HttpLine.open(CONNECT_TIMEOUT, trustStore, trustStorePassword);
    }
    call.starting(line);
    try {
      Answer answer = line.call(uri, headers, request, call.remaining());
      if (!answer.isAvatica()) {
        throw new IOException("the member answered with HTTP status " + answer.status());
      }
      call.answered(answer.header(Headers.GROUP_POSITION));
      return answer.body();
    } catch (NotSentException e) {
      throw new UncheckedIOException("no connection to the member", e);
    } catch (IOException e) {
      call.lost();
      throw new UncheckedIOException("the connection to the member was lost", e);
    } finally {
      if (CallInspector.closesConnection(request)) {
        line.close();
        line = null;
      }
    }
  }
}
