package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.store.StoreException;

class WatchedObjectsTest {

  private static final Duration SHORT_WAIT = Duration.ofMillis(50);
  private static final Duration LONG_WAIT = Duration.ofSeconds(20);

  private final Closer closer = Closer.create();
  private final StoreStandin store =
      closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
  private final WatchedObjects watched =
      new WatchedObjects(
          new PlatformStoreClient(closer.register(HttpClient.start("test", 1)), store.endpoint()),
          "things");

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
