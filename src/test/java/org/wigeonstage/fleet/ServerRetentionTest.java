package org.wigeonstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ServerRetentionTest {

  private final ServerRetention retention = new ServerRetention();

  private static BackendServer server(String id) {
    return new BackendServer(id, "pool", "10.0.0.1:" + id.hashCode(), "fd", 4, false, 0);
  }

  private List<String> take(double seconds, BackendServer... servers) {
    ServerList fresh = new ServerList(1, List.of(servers), 0);
    return retention.apply(fresh, Duration.ofMillis((long) (seconds * 1000))).servers().stream()
        .map(BackendServer::id)
        .toList();
  }

  private static BackendServer[] servers(String... ids) {
    return Stream.of(ids).map(ServerRetentionTest::server).toArray(BackendServer[]::new);
  }

  @Test
  void believesAListWhileTheStoreIsThere() {
    take(0, servers("a", "b"));
    assertThat(take(0.5, servers("a"))).containsExactly("a");
    assertThat(take(1.5, servers())).isEmpty();
  }

  /** The store was down for some seconds; no server could renew its registration. */
  @Test
  void keepsServersWhoseRegistrationsLapsedWhileTheStoreWasAway() {
    take(0, servers("a", "b"));
    assertThat(take(5, servers())).containsExactlyInAnyOrder("a", "b");
    assertThat(take(6, servers("a"))).containsExactlyInAnyOrder("a", "b");
    assertThat(retention.retained()).containsExactly("b");
  }

  @Test
  void takesServersAsGoneThatDoNotComeBack() {
    take(0, servers("a", "b"));
    take(5, servers());
    assertThat(take(7, servers("a"))).containsExactlyInAnyOrder("a", "b");
    assertThat(take(7.3, servers("a"))).containsExactly("a");
    assertThat(retention.retained()).isEmpty();
  }

  @Test
  void keepsNoServerThatWasLeaving() {
    BackendServer leaving = new BackendServer("b", "pool", "10.0.0.2:1", "fd", 4, true, 0);
    take(0, server("a"), leaving);
    assertThat(take(5, servers())).containsExactly("a");
  }

  @Test
  void keepsNoServerWhoseAddressHasAnotherOne() {
    take(0, servers("a"));
    BackendServer next = new BackendServer("c", "pool", server("a").address(), "fd", 4, false, 0);
    assertThat(take(5, next)).containsExactly("c");
  }

  @Test
  void keepsNothingThatLeftAfterTheStoresReturn() {
    take(0, servers("a", "b"));
    assertThat(take(5, servers("a", "b"))).containsExactlyInAnyOrder("a", "b");
    assertThat(take(6, servers("a"))).containsExactly("a");
  }
}
