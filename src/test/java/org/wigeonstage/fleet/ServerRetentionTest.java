package org.wigeonstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.wigeonstage.http.Endpoint;

class ServerRetentionTest {

  private final ServerRetention retention = new ServerRetention();

  private static BackendServer server(String id) {
    return new BackendServer(
        id, "pool", new Endpoint("10.0.0.1", id.hashCode()), "fd", 4, false, 0);
  }

  private List<String> apply(double seconds, BackendServer... servers) {
    ServerList fresh = new ServerList(1, List.of(servers), 0);
    return retention.apply(fresh, Duration.ofMillis((long) (seconds * 1000))).servers().stream()
        .map(BackendServer::id)
        .toList();
  }

  private static BackendServer[] servers(String... ids) {
    return Stream.of(ids).map(ServerRetentionTest::server).toArray(BackendServer[]::new);
  }

  @Test
  void usesTheListUnchangedWithoutAnOutage() {
    apply(0, servers("a", "b"));
    assertThat(apply(0.5, servers("a"))).containsExactly("a");
    assertThat(apply(1.5, servers())).isEmpty();
  }

  /** During an outage of the store of some seconds, no server can renew its registration. */
  @Test
  void retainsServersWhoseRegistrationsExpiredDuringAnOutage() {
    apply(0, servers("a", "b"));
    assertThat(apply(5, servers())).containsExactlyInAnyOrder("a", "b");
    assertThat(apply(6, servers("a"))).containsExactlyInAnyOrder("a", "b");
    assertThat(retention.retained()).containsExactly("b");
  }

  @Test
  void dropsServersThatDoNotRegisterAgain() {
    apply(0, servers("a", "b"));
    apply(5, servers());
    assertThat(apply(7, servers("a"))).containsExactlyInAnyOrder("a", "b");
    assertThat(apply(7.3, servers("a"))).containsExactly("a");
    assertThat(retention.retained()).isEmpty();
  }

  @Test
  void doesNotRetainLeavingServers() {
    BackendServer leaving =
        new BackendServer("b", "pool", new Endpoint("10.0.0.2", 1), "fd", 4, true, 0);
    apply(0, server("a"), leaving);
    assertThat(apply(5, servers())).containsExactly("a");
  }

  @Test
  void doesNotRetainAServerWhoseAddressHasANewServer() {
    apply(0, servers("a"));
    BackendServer successor =
        new BackendServer("c", "pool", server("a").address(), "fd", 4, false, 0);
    assertThat(apply(5, successor)).containsExactly("c");
  }

  @Test
  void doesNotRetainServersThatDisappearAfterTheFirstListSinceAnOutage() {
    apply(0, servers("a", "b"));
    assertThat(apply(5, servers("a", "b"))).containsExactlyInAnyOrder("a", "b");
    assertThat(apply(6, servers("a"))).containsExactly("a");
  }
}
