package org.oleanderstep.proxy.internal.traffic;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Requests;

/** Sends hand-made HTTP requests to a proxy, without a JDBC driver. */
final class RawCaller {

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final TestProxy proxy;
  private final String authorization;

  RawCaller(TestProxy proxy, String key, String secret) {
    this.proxy = proxy;
    this.authorization =
        "Basic "
            + Base64.getEncoder()
                .encodeToString((key + ":" + secret).getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a commit for a connection and returns the HTTP status. */
  int commit(String connectionId) throws IOException, InterruptedException {
    Requests.CommitRequest commit =
        Requests.CommitRequest.newBuilder().setConnectionId(connectionId).build();
    return send(
        Common.WireMessage.newBuilder()
            .setName(Requests.CommitRequest.class.getName())
            .setWrappedMessage(commit.toByteString())
            .build()
            .toByteArray());
  }

  int send(byte[] body) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + proxy.address() + "/v1/shop/orders"))
            .header("Authorization", authorization)
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray()).statusCode();
  }
}
