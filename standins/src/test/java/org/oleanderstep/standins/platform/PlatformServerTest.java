package org.oleanderstep.standins.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.util.Durations;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.schema.v1.ObjectHead;
import org.oleanderstep.schema.v1.ObjectList;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.schema.v1.Vm;

class PlatformServerTest {

  private final HttpClient http = HttpClient.newHttpClient();
  private PlatformServer platform;

  @BeforeEach
  void startPlatform() {
    platform = PlatformServer.start(settings().build());
  }

  @AfterEach
  void stopPlatform() {
    platform.close();
  }

  private static PlatformSettings.Builder settings() {
    return PlatformSettings.newBuilder().setAddress("127.0.0.1:0");
  }

  private HttpRequest.Builder at(String path) {
    return HttpRequest.newBuilder(URI.create(platform.url() + path));
  }

  private HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return http.send(request.build(), BodyHandlers.ofString());
  }

  private HttpResponse<String> put(String name, String value, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request = at("/objects/" + name).PUT(BodyPublishers.ofString(value));
    return send(headers.length == 0 ? request : request.headers(headers));
  }

  private static String etag(HttpResponse<String> response) {
    return response.headers().firstValue("etag").orElseThrow();
  }

  @Nested
  class ConditionalUpdates {

    @Test
    void should_refuse_an_update_on_a_version_that_was_replaced() throws Exception {
      String first = etag(put("configuration/current", "one", "If-None-Match", "*"));
      assertThat(put("configuration/current", "two", "If-Match", first).statusCode())
          .isEqualTo(200);

      HttpResponse<String> late = put("configuration/current", "three", "If-Match", first);

      assertThat(late.statusCode()).isEqualTo(412);
      assertThat(send(at("/objects/configuration/current")).body()).isEqualTo("two");
    }

    @Test
    void should_refuse_to_create_an_object_that_exists() throws Exception {
      put("a", "one", "If-None-Match", "*");
      assertThat(put("a", "two", "If-None-Match", "*").statusCode()).isEqualTo(412);
    }

    // A lost update between the check and the change would let two operators both win.
    @Test
    void should_let_exactly_one_of_many_concurrent_updates_win() throws Exception {
      String version = etag(put("a", "start"));
      for (int round = 0; round < 20; round++) {
        List<CompletableFuture<HttpResponse<String>>> racing = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          HttpRequest request =
              at("/objects/a")
                  .header("If-Match", version)
                  .PUT(BodyPublishers.ofString(round + "-" + i))
                  .build();
          racing.add(http.sendAsync(request, BodyHandlers.ofString()));
        }
        List<HttpResponse<String>> winners =
            racing.stream()
                .map(CompletableFuture::join)
                .filter(r -> r.statusCode() == 200)
                .toList();
        assertThat(winners).hasSize(1);
        version = etag(winners.get(0));
      }
      assertThat(platform.stats().getConflicts()).isEqualTo(20 * 7);
    }

    // Versions that start over would let an update based on a deleted object take effect.
    @Test
    void should_never_give_a_version_twice_to_a_name() throws Exception {
      String first = etag(put("a", "one"));
      send(at("/objects/a").DELETE());
      String second = etag(put("a", "two"));
      assertThat(second).isNotEqualTo(first);
      assertThat(put("a", "three", "If-Match", first).statusCode()).isEqualTo(412);
    }

    @Test
    void should_delete_only_the_version_named() throws Exception {
      String first = etag(put("a", "one"));
      put("a", "two");
      assertThat(send(at("/objects/a").header("If-Match", first).DELETE()).statusCode())
          .isEqualTo(412);
      assertThat(send(at("/objects/a")).body()).isEqualTo("two");
    }

    @Test
    void should_refuse_values_above_one_megabyte() throws Exception {
      String largest = "x".repeat(PlatformServer.MAX_VALUE_BYTES);
      assertThat(put("a", largest).statusCode()).isEqualTo(200);
      assertThat(put("a", largest + "x").statusCode()).isEqualTo(413);
    }

    @Test
    void should_list_objects_by_prefix_with_their_versions() throws Exception {
      put("intent/drain/vm-1", "x");
      String version = etag(put("intent/drain/vm-2", "xyz"));
      put("shares/current", "y");

      ObjectList.Builder list = ObjectList.newBuilder();
      JsonFormat.parser().merge(send(at("/objects?prefix=intent/")).body(), list);

      assertThat(list.getObjectsList().stream().map(ObjectHead::getName))
          .containsExactly("intent/drain/vm-1", "intent/drain/vm-2")
          .inOrder();
      assertThat("\"" + list.getObjects(1).getVersion() + "\"").isEqualTo(version);
      assertThat(list.getObjects(1).getBytes()).isEqualTo(3);
    }

    @Test
    void should_answer_malformed_requests_and_go_on() throws Exception {
      assertThat(put("a", "one", "If-Match", "17").statusCode()).isEqualTo(400);
      assertThat(send(at("/objects/a?waitAfter=x")).statusCode()).isEqualTo(400);
      assertThat(send(at("/nothing")).statusCode()).isEqualTo(404);
      assertThat(put("a", "one").statusCode()).isEqualTo(200);
    }
  }

  @Nested
  class Watches {

    @Test
    void should_answer_a_watch_when_the_object_changes() throws Exception {
      String version = etag(put("a", "one")).replace("\"", "");
      CompletableFuture<HttpResponse<String>> watch =
          http.sendAsync(
              at("/objects/a?timeoutMs=20000&waitAfter=" + version).build(),
              BodyHandlers.ofString());
      while (platform.stats().getWaitingWatches() == 0) {
        Thread.onSpinWait();
      }
      assertThat(watch.isDone()).isFalse();

      put("a", "two");

      assertThat(watch.join().body()).isEqualTo("two");
      assertThat(platform.stats().getWatches()).isEqualTo(1);
      assertThat(platform.stats().getReads()).isEqualTo(0);
    }

    // A watch that waits for the next change would miss one made since the caller's last read.
    @Test
    void should_answer_at_once_when_the_object_is_newer() throws Exception {
      String version = etag(put("a", "one")).replace("\"", "");
      put("a", "two");
      assertThat(send(at("/objects/a?timeoutMs=20000&waitAfter=" + version)).body())
          .isEqualTo("two");
    }

    @Test
    void should_wait_for_an_object_to_be_created() throws Exception {
      CompletableFuture<HttpResponse<String>> watch =
          http.sendAsync(
              at("/objects/a?timeoutMs=20000&waitAfter=0").build(), BodyHandlers.ofString());
      put("a", "one");
      assertThat(watch.join().body()).isEqualTo("one");
    }

    @Test
    void should_report_that_nothing_changed_in_time() throws Exception {
      String version = etag(put("a", "one")).replace("\"", "");
      HttpResponse<String> answer = send(at("/objects/a?timeoutMs=50&waitAfter=" + version));
      assertThat(answer.statusCode()).isEqualTo(304);
      assertThat(platform.stats().getWaitingWatches()).isEqualTo(0);
    }

    @Test
    void should_report_the_deletion_of_a_watched_object() throws Exception {
      String version = etag(put("a", "one")).replace("\"", "");
      send(at("/objects/a").DELETE());
      assertThat(send(at("/objects/a?timeoutMs=20000&waitAfter=" + version)).statusCode())
          .isEqualTo(404);
    }
  }

  @Nested
  class TestFaults {

    @Test
    void should_lose_the_answer_of_an_update_that_took_effect() throws Exception {
      platform.setFaults(PlatformFaults.newBuilder().setLoseAnswers(1).build());
      assertThrows(IOException.class, () -> put("a", "one"));
      assertThat(send(at("/objects/a")).body()).isEqualTo("one");
      assertThat(put("a", "two").statusCode()).isEqualTo(200);
    }

    @Test
    void should_drop_connections_while_unavailable_but_accept_controls() throws Exception {
      put("a", "one");
      assertThat(
              send(at("/faults").PUT(BodyPublishers.ofString("{\"unavailable\": true}")))
                  .statusCode())
          .isEqualTo(200);
      assertThrows(IOException.class, () -> send(at("/objects/a")));
      assertThrows(IOException.class, () -> put("a", "two"));
      assertThrows(IOException.class, () -> send(at("/vms")));
      send(at("/faults").PUT(BodyPublishers.ofString("{}")));
      assertThat(send(at("/objects/a")).body()).isEqualTo("one");
    }

    @Test
    void should_cut_off_a_single_vm_and_its_waiting_watch() throws Exception {
      CompletableFuture<HttpResponse<String>> watch =
          http.sendAsync(
              at("/objects/a?waitAfter=0").header("Oleanderstep-Vm", "vm-1").build(),
              BodyHandlers.ofString());
      while (platform.stats().getWaitingWatches() == 0) {
        Thread.onSpinWait();
      }
      platform.setFaults(PlatformFaults.newBuilder().addUnavailableTo("vm-1").build());

      assertThrows(Exception.class, watch::join);
      assertThrows(IOException.class, () -> send(at("/vms").header("Oleanderstep-Vm", "vm-1")));
      assertThat(send(at("/vms").header("Oleanderstep-Vm", "vm-2")).statusCode()).isEqualTo(200);
    }

    @Test
    void should_delay_answers() throws Exception {
      platform.setFaults(PlatformFaults.newBuilder().setDelay(Durations.fromMillis(120)).build());
      long start = System.nanoTime();
      send(at("/vms"));
      assertThat(System.nanoTime() - start).isAtLeast(100_000_000L);
    }
  }

  @Nested
  class VmLists {

    @Test
    void should_show_changes_only_after_the_lag() {
      long[] now = {0};
      VmRegistry vms = new VmRegistry(java.time.Duration.ofSeconds(3), () -> now[0], 0);
      vms.start(List.of(Vm.newBuilder().setName("vm-1").build()));
      vms.put(Vm.newBuilder().setName("vm-2").build());
      now[0] = 2_000_000_000L;
      vms.delete("vm-1");
      assertThat(vms.list().getVmsList().stream().map(Vm::getName)).containsExactly("vm-1");
      now[0] = 3_000_000_000L;
      assertThat(vms.list().getVmsList().stream().map(Vm::getName)).containsExactly("vm-1", "vm-2");
      now[0] = 5_000_000_000L;
      assertThat(vms.list().getVmsList().stream().map(Vm::getName)).containsExactly("vm-2");
    }

    @Test
    void should_change_the_list_over_http() throws Exception {
      send(at("/vms/vm-1").PUT(BodyPublishers.ofString("{\"kind\": \"ENTRY\"}")));
      assertThat(send(at("/vms")).body()).contains("vm-1");
      send(at("/vms/vm-1").DELETE());
      assertThat(send(at("/vms")).body()).doesNotContain("vm-1");
    }
  }

  @Nested
  class OlderCopies {

    private String era(HttpResponse<String> response) {
      return response.headers().firstValue("Store-Era").orElseThrow();
    }

    @Test
    void should_lose_what_was_written_since_the_copy() throws Exception {
      put("a", "one");
      send(at("/copy").PUT(BodyPublishers.noBody()));
      String lost = etag(put("a", "two"));
      put("b", "three");

      send(at("/restore").PUT(BodyPublishers.noBody()));

      assertThat(send(at("/objects/a")).body()).isEqualTo("one");
      assertThat(send(at("/objects/b")).statusCode()).isEqualTo(404);
      assertThat(etag(put("a", "four"))).isEqualTo(lost);
    }

    @Test
    void should_name_the_era_in_every_response() throws Exception {
      assertThat(era(put("a", "one"))).isEqualTo("0");
      platform.copy();

      platform.restore();
      platform.restore();

      assertThat(era(send(at("/objects/a")))).isEqualTo("2");
      assertThat(era(send(at("/objects/absent")))).isEqualTo("2");
      assertThat(era(send(at("/nowhere")))).isEqualTo("2");
    }

    @Test
    void should_answer_a_watch_from_a_version_that_it_does_not_have() throws Exception {
      platform.copy();
      String lost = etag(put("a", "one"));
      platform.restore();
      String number = lost.substring(1, lost.length() - 1);

      assertThat(send(at("/objects/a?waitAfter=" + number)).statusCode()).isEqualTo(410);
    }

    @Test
    void should_refuse_to_restore_without_a_copy() throws Exception {
      assertThat(send(at("/restore").PUT(BodyPublishers.noBody())).statusCode()).isEqualTo(409);
    }

    @Test
    void should_keep_the_era_over_a_restart(@TempDir Path directory) throws Exception {
      platform.close();
      PlatformSettings settings = settings().setDataDirectory(directory.toString()).build();
      platform = PlatformServer.start(settings);
      put("a", "one");
      platform.copy();
      put("a", "two");
      put("b", "three");
      platform.restore();
      platform.close();

      platform = PlatformServer.start(settings);

      HttpResponse<String> read = send(at("/objects/a"));
      assertThat(read.body()).isEqualTo("one");
      assertThat(era(read)).isEqualTo("1");
      assertThat(send(at("/objects/b")).statusCode()).isEqualTo(404);
    }
  }

  @Nested
  class DataDirectory {

    @Test
    void should_keep_objects_and_versions_over_a_restart(@TempDir Path directory) throws Exception {
      platform.close();
      PlatformSettings settings = settings().setDataDirectory(directory.toString()).build();
      platform = PlatformServer.start(settings);
      String kept = etag(put("configuration/current", "one"));
      String deleted = etag(put("b", "two"));
      send(at("/objects/b").DELETE());
      platform.close();

      platform = PlatformServer.start(settings);

      HttpResponse<String> read = send(at("/objects/configuration/current"));
      assertThat(read.body()).isEqualTo("one");
      assertThat(etag(read)).isEqualTo(kept);
      assertThat(send(at("/objects/b")).statusCode()).isEqualTo(404);
      assertThat(etag(put("b", "three"))).isNotEqualTo(deleted);
    }
  }
}
