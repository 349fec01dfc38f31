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

class FollowedKindTest {

  private static final Duration SHORT = Duration.ofMillis(50);
  private static final Duration LONG = Duration.ofSeconds(20);

  private final Closer closer = Closer.create();
  private final StoreStandin store =
      closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
  private final FollowedKind kind =
      new FollowedKind(
          new PlatformObjects(closer.register(HttpClient.start("test", 1)), store.endpoint()),
          "things");

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  private void write(String name) {
    store.write("things", name, JsonNodeFactory.instance.objectNode().put("of", name));
  }

  private List<String> names() {
    return kind.entries().stream().map(PlatformObjects::nameOf).toList();
  }

  private CompletableFuture<Void> awaiting() throws InterruptedException {
    CompletableFuture<Void> done = CompletableFuture.runAsync(() -> kind.await(LONG));
    assertThat(Polling.await(() -> store.watches() == 1, LONG)).isTrue();
    return done;
  }

  @Test
  void readsAllPagesFirst() {
    store.pageSize(2);
    for (String name : List.of("a", "b", "c", "d", "e")) {
      write(name);
    }
    kind.await(LONG);
    assertThat(names()).containsExactly("a", "b", "c", "d", "e");
  }

  @Test
  void learnsOfChangesAsTheyHappen() throws Exception {
    write("a");
    kind.await(LONG);
    CompletableFuture<Void> waiting = awaiting();
    write("b");
    waiting.get(LONG.toSeconds(), TimeUnit.SECONDS);
    assertThat(names()).containsExactly("a", "b");
    store.remove("things", "a");
    kind.await(LONG);
    assertThat(names()).containsExactly("b");
    assertThat(kind.entry("b").orElseThrow().at("/spec/of").asText()).isEqualTo("b");
  }

  @Test
  void knowsTheSameAfterAWaitWithoutChanges() {
    write("a");
    kind.await(LONG);
    long before = store.calls();
    kind.await(SHORT);
    assertThat(names()).containsExactly("a");
    assertThat(store.calls()).isEqualTo(before + 1);
  }

  @Test
  void readsTheListAgainWhereTheHistoryIsGone() {
    write("a");
    kind.await(LONG);
    store.remove("things", "a");
    write("b");
    store.forgetHistory();
    kind.await(LONG);
    assertThat(names()).containsExactly("b");
  }

  @Test
  void tellsOfAWatchThatWasCutAndGoesOnWithTheNext() throws Exception {
    write("a");
    kind.await(LONG);
    CompletableFuture<Void> waiting = awaiting();
    store.abortWatches();
    assertThatThrownBy(() -> waiting.get(LONG.toSeconds(), TimeUnit.SECONDS))
        .hasCauseInstanceOf(StoreException.class);
    write("b");
    kind.await(LONG);
    assertThat(names()).containsExactly("a", "b");
  }

  /** A store that is about to drop its history answers watches without the latest changes. */
  @Test
  void asksAgainForChangesThatWereHeldBack() {
    write("a");
    kind.await(LONG);
    store.holdBackEvents(true);
    write("b");
    kind.await(SHORT);
    assertThat(names()).containsExactly("a");
    store.holdBackEvents(false);
    kind.await(LONG);
    assertThat(names()).containsExactly("a", "b");
  }
}
