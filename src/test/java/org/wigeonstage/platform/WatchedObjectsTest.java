package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.JsonSelection;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.store.StoreException;

class WatchedObjectsTest {

  private static final Duration SHORT_WAIT = Duration.ofMillis(50);
  private static final Duration LONG_WAIT = Duration.ofSeconds(20);

  private static final ObjectKind THINGS =
      new ObjectKind(
          "things",
          Optional.empty(),
          JsonSelection.fields(JsonSelection.scalar(10), "of"),
          Optional.empty());

  private final Closer closer = Closer.create();
  private final StoreStandin store =
      closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
  private final StoreEra era = new StoreEra();
  private final WatchedObjects watched =
      new WatchedObjects(
          new PlatformStoreClient(
              closer.register(HttpClient.start("test", 1)), store.endpoint(), era),
          THINGS);

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  private void write(String name) {
    store.write("things", name, JsonNodeFactory.instance.objectNode().put("of", name));
  }

  private List<String> names() {
    return watched.objects().stream().map(StoreObject::name).toList();
  }

  private CompletableFuture<Void> startWaiting() throws InterruptedException {
    CompletableFuture<Void> done = CompletableFuture.runAsync(() -> watched.await(LONG_WAIT));
    assertThat(Polling.await(() -> store.watchCount() == 1, LONG_WAIT)).isTrue();
    return done;
  }

  @Test
  void firstWaitReadsAllPages() {
    store.setPageSize(2);
    for (String name : List.of("a", "b", "c", "d", "e")) {
      write(name);
    }
    watched.await(LONG_WAIT);
    assertThat(names()).containsExactly("a", "b", "c", "d", "e");
  }

  @Test
  void appliesChangesWhileWaiting() throws Exception {
    write("a");
    watched.await(LONG_WAIT);
    CompletableFuture<Void> pendingWait = startWaiting();
    write("b");
    pendingWait.get(LONG_WAIT.toSeconds(), TimeUnit.SECONDS);
    assertThat(names()).containsExactly("a", "b");
    store.remove("things", "a");
    watched.await(LONG_WAIT);
    assertThat(names()).containsExactly("b");
    assertThat(watched.object("b").orElseThrow().spec().path("of").asText()).isEqualTo("b");
  }

  @Test
  void keepsObjectsAfterAWaitWithoutChanges() {
    write("a");
    watched.await(LONG_WAIT);
    long before = store.callCount();
    watched.await(SHORT_WAIT);
    assertThat(names()).containsExactly("a");
    assertThat(store.callCount()).isEqualTo(before + 1);
  }

  @Test
  void readsTheListAgainIfTheStoreHasDroppedItsHistory() {
    write("a");
    watched.await(LONG_WAIT);
    store.remove("things", "a");
    write("b");
    store.dropHistory();
    watched.await(LONG_WAIT);
    assertThat(names()).containsExactly("b");
  }

  @Test
  void throwsIfAWatchIsAbortedAndAppliesChangesInTheNextCall() throws Exception {
    write("a");
    watched.await(LONG_WAIT);
    CompletableFuture<Void> pendingWait = startWaiting();
    store.abortWatches();
    assertThatThrownBy(() -> pendingWait.get(LONG_WAIT.toSeconds(), TimeUnit.SECONDS))
        .hasCauseInstanceOf(StoreException.class);
    write("b");
    watched.await(LONG_WAIT);
    assertThat(names()).containsExactly("a", "b");
  }

  /** Guards against a watch that keeps what the restored store has lost, and against two lists. */
  @Test
  void readsTheListOnceAfterTheStoreWasRestored() throws Exception {
    write("a");
    StoreStandin.Copy copy = store.copy();
    write("b");
    watched.await(LONG_WAIT);
    CompletableFuture<Void> pendingWait = startWaiting();
    store.restore(copy);
    pendingWait.get(LONG_WAIT.toSeconds(), TimeUnit.SECONDS);
    assertThat(names()).containsExactly("a");
    assertThat(watched.version().era()).isEqualTo(1);
    write("c");
    watched.await(LONG_WAIT);
    assertThat(names()).containsExactly("a", "c");
    assertThat(store.listCount("things")).isEqualTo(2);
  }

  /** Guards against a watch that goes on in a lower era until the store happens to end it. */
  @Test
  void watchEndsWhenAPeerReportsAHigherEra() throws Exception {
    store.restore(store.copy());
    write("a");
    watched.await(LONG_WAIT);
    CompletableFuture<Void> pendingWait = startWaiting();
    store.restore(store.copy());
    era.observe(2);
    pendingWait.get(LONG_WAIT.toSeconds(), TimeUnit.SECONDS);
    assertThat(watched.version().era()).isEqualTo(2);
  }

  /** Guards against state that a replica has served from before the restore. */
  @Test
  void responseOfALowerEraIsAFailedCall() {
    write("a");
    era.observe(3);
    store.setStatedEra("2");
    assertThatThrownBy(() -> watched.await(LONG_WAIT)).isInstanceOf(StoreException.class);
    store.setStatedEra("3");
    watched.await(LONG_WAIT);
    assertThat(names()).containsExactly("a");
  }

  /** Guards against a list that holds a part of the state before the restore. */
  @Test
  void pagesOfTwoErasAreReadAgain() {
    List<String> responses = List.of("1 a true", "2 stale false", "2 b true", "2 c false");
    AtomicInteger calls = new AtomicInteger();
    HttpServer paged =
        closer.register(
            HttpServer.start(
                "paged",
                new Endpoint("127.0.0.1", 0),
                1024,
                exchange -> {
                  String[] parts = responses.get(calls.getAndIncrement()).split(" ");
                  String page =
                      "{\"entries\":[{\"metadata\":{\"name\":\"%s\"},\"spec\":{}}],"
                          + "\"has_more\":%s,\"at\":7}";
                  exchange.respond(
                      200,
                      "application/json",
                      Map.of("Store-Era", parts[0]),
                      page.formatted(parts[1], parts[2]).getBytes(StandardCharsets.UTF_8));
                }));
    HttpClient client = closer.register(HttpClient.start("test", 1));
    PlatformStoreClient.Listing listing =
        new PlatformStoreClient(client, paged.endpoint(), new StoreEra()).list(THINGS);
    assertThat(listing.version()).isEqualTo(new StoreVersion(2, 7));
    assertThat(listing.objects()).extracting(StoreObject::name).containsExactly("b", "c");
  }

  /** Guards against a header field that is taken for an era and then makes all others lower. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "-1", "1.5", "0x2", "99999999999999999999", ""})
  void eraThatIsNotAWholeNumberCountsAsAbsent(String value) {
    store.setStatedEra(value);
    write("a");
    watched.await(LONG_WAIT);
    assertThat(watched.version().era()).isZero();
  }

  /** A store that is about to drop its history responds to watches without the latest changes. */
  @Test
  void requestsWithheldChangesAgain() {
    write("a");
    watched.await(LONG_WAIT);
    store.setWithholdsEvents(true);
    write("b");
    watched.await(SHORT_WAIT);
    assertThat(names()).containsExactly("a");
    store.setWithholdsEvents(false);
    watched.await(LONG_WAIT);
    assertThat(names()).containsExactly("a", "b");
  }
}
