package org.wigeonstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

  /** Applies a list whose servers were all written at the given revision, unless stated. */
  private List<String> applyEra(
      double seconds,
      long era,
      long revision,
      Map<String, Long> written,
      BackendServer... servers) {
    Map<String, Long> revisions = new HashMap<>();
    for (BackendServer server : servers) {
      revisions.put(server.id(), written.getOrDefault(server.id(), 1L));
    }
    ServerList fresh =
        new ServerList(new StoreVersion(era, revision), List.of(servers), 0, revisions);
    return retention.apply(fresh, Duration.ofMillis((long) (seconds * 1000))).servers().stream()
        .filter(server -> !server.isLeaving())
        .map(BackendServer::id)
        .sorted()
        .toList();
  }

  private static BackendServer leaving(String id) {
    return server(id).leaving();
  }

  private static BackendServer run(String id, long startedAtMillis) {
    BackendServer server = server(id);
    return new BackendServer(id, server.pool(), server.address(), "fd", 4, false, startedAtMillis);
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

  /** Guards against requests that find no server because registrations were lost. */
  @Test
  void retainsServersThatARestoredStoreLacks() {
    applyEra(0, 0, 50, Map.of(), servers("a", "b"));
    assertThat(applyEra(0.5, 1, 40, Map.of(), servers("a"))).containsExactly("a", "b");
    assertThat(retention.needsLists()).isFalse();
    assertThat(retention.maxWatchTime(Duration.ofSeconds(9), Duration.ofMillis(700)))
        .isEqualTo(Duration.ofMillis(2000));
    assertThat(applyEra(1.5, 1, 41, Map.of("b", 41L), servers("a", "b"))).containsExactly("a", "b");
    assertThat(applyEra(1.6, 1, 42, Map.of(), servers("a"))).containsExactly("a");
  }

  /** Guards against servers that stay listed for ever although they were lost with the store. */
  @Test
  void dropsServersThatAreNotWrittenAgainAfterARestore() {
    applyEra(0, 0, 50, Map.of(), servers("a", "b"));
    applyEra(0.5, 1, 40, Map.of(), servers("a"));
    assertThat(applyEra(2.7, 1, 40, Map.of(), servers("a"))).containsExactly("a");
  }

  /** Guards against requests to a server that has announced that it is leaving, or has left. */
  @Test
  void serversThatHadLeftOrWereLeavingGetNothingUntilTheyAreWrittenAgain() {
    applyEra(0, 0, 50, Map.of(), server("a"), leaving("b"));
    assertThat(applyEra(0.5, 1, 40, Map.of("a", 30L, "b", 40L, "c", 39L), servers("a", "b", "c")))
        .containsExactly("a");
    assertThat(retention.unconfirmed()).containsExactly("b", "c");
    assertThat(applyEra(1, 2, 40, Map.of("b", 40L), servers("a", "b"))).containsExactly("a");
    assertThat(applyEra(1.5, 2, 41, Map.of("b", 41L), servers("a", "b"))).containsExactly("a", "b");
    assertThat(retention.unconfirmed()).isEmpty();
  }

  /** Guards against a draining entry of the new era that the state before the restore hides. */
  @Test
  void leavingEntryOfARestoredStoreCounts() {
    applyEra(0, 0, 50, Map.of(), servers("a", "b"));
    assertThat(applyEra(0.5, 1, 40, Map.of(), server("a"), leaving("b"))).containsExactly("a");
  }

  /** Guards against an entry of an earlier run that replaces the one of the current run. */
  @Test
  void entryOfAnEarlierRunDoesNotReplaceTheKnownOne() {
    applyEra(0, 0, 50, Map.of(), run("a", 2000));
    assertThat(applyEra(0.5, 1, 40, Map.of(), run("a", 1000))).containsExactly("a");
    assertThat(retention.retained()).containsExactly("a");
    assertThat(applyEra(1, 1, 41, Map.of("a", 41L), run("a", 2000))).containsExactly("a");
    assertThat(retention.retained()).isEmpty();
  }

  @Test
  void doesNotRetainServersThatDisappearAfterTheFirstListSinceAnOutage() {
    apply(0, servers("a", "b"));
    assertThat(apply(5, servers("a", "b"))).containsExactlyInAnyOrder("a", "b");
    assertThat(apply(6, servers("a"))).containsExactly("a");
  }
}
