package org.oleanderstep.load.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.PlatformStats;
import org.oleanderstep.schema.v1.Vm;

/** The test controls of the stand-in for the platform. */
public final class PlatformAccess {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient http = HttpClient.newHttpClient();
  private final String url;

  /** Creates the access to a stand-in at {@code http://host:port}. */
  PlatformAccess(String url) {
    this.url = url;
  }

  /** Returns the address of the platform itself, not of a relay. */
  public String url() {
    return url;
  }

  /** Puts a VM on the platform's list. */
  public void register(Vm vm) throws IOException, InterruptedException {
    put("/vms/" + vm.getName(), vm);
  }

  /** Takes a VM off the platform's list, as after its termination. */
  public void remove(String vm) throws IOException, InterruptedException {
    send(request("/vms/" + vm).DELETE().build());
  }

  /** Replaces the faults that the platform shows. */
  public void setFaults(PlatformFaults faults) throws IOException, InterruptedException {
    put("/faults", faults);
  }

  /** Returns the counts of calls so far. */
  public PlatformStats stats() throws IOException, InterruptedException {
    PlatformStats.Builder stats = PlatformStats.newBuilder();
    JsonFormat.parser().merge(send(request("/stats").GET().build()), stats);
    return stats.build();
  }

  private void put(String path, Message body) throws IOException, InterruptedException {
    send(request(path).PUT(HttpRequest.BodyPublishers.ofString(json(body))).build());
  }

  private static String json(Message message) throws InvalidProtocolBufferException {
    return JsonFormat.printer().print(message);
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create(url + path)).timeout(TIMEOUT);
  }

  private String send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() / 100 != 2) {
      throw new IOException(
          request.method() + " " + request.uri() + " answered " + response.statusCode());
    }
    return response.body();
  }
}
