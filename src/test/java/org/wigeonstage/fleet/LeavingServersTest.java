package org.wigeonstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.http.Endpoint;

class LeavingServersTest {

  private static final Duration NOW = Duration.ofHours(1);
  private static final Endpoint ADDRESS = new Endpoint("10.0.0.1", 80);

  private final LeavingServers leavingServers = new LeavingServers();

  private static BackendServer server(String id, boolean isLeaving, long startedAtMillis) {
    return new BackendServer(id, "pool", ADDRESS, "fd", 4, isLeaving, startedAtMillis);
  }

  private boolean isLeaving(BackendServer server, Duration now) {
    ServerList list = leavingServers.apply(new ServerList(1, List.of(server), 0), now);
    return list.servers().get(0).isLeaving();
  }

  private void announce(BackendServer server) {
    leavingServers.record(server.runId(), NOW, NOW);
  }

  @Test
  void listDecidesWithoutAnAnnouncement() {
    announce(server("other", false, 1));
    assertThat(isLeaving(server("a", false, 1), NOW)).isFalse();
    assertThat(isLeaving(server("a", true, 1), NOW)).isTrue();
  }

  @Test
  void announcementPrecedesAListThatCallsTheServerReady() {
    announce(server("a", false, 1));
    assertThat(isLeaving(server("a", false, 1), NOW.plusSeconds(60))).isTrue();
  }

  @Test
  void announcementDoesNotConcernALaterRunWithTheSameId() {
    announce(server("a", false, 1));
    assertThat(isLeaving(server("a", false, 2), NOW)).isFalse();
  }

  @Test
  void announcementDoesNotConcernAnotherServerAtTheSameAddress() {
    announce(server("a", false, 1));
    assertThat(isLeaving(server("b", false, 1), NOW)).isFalse();
  }

  @Test
  void serverThatIsStillRegisteredLongAfterItsAnnouncementIsUsedAgain() {
    announce(server("a", false, 1));
    assertThat(isLeaving(server("a", false, 1), NOW.plus(LeavingServers.LIFETIME))).isTrue();
    Duration later = NOW.plus(LeavingServers.LIFETIME).plusMillis(1);
    assertThat(isLeaving(server("a", false, 1), later)).isFalse();
    assertThat(leavingServers.announcements(later)).isEmpty();
  }

  @Test
  void latestAnnouncementCountsInWhicheverOrderTheyAreReported() {
    String run = server("a", false, 1).runId();
    assertThat(leavingServers.record(run, NOW, NOW)).isTrue();
    assertThat(leavingServers.record(run, NOW.minusSeconds(30), NOW)).isFalse();
    assertThat(leavingServers.announcements(NOW)).containsOnlyKeys(run).containsValue(NOW);
  }

  @Test
  void announcementThatNoLongerCountsIsNotRecorded() {
    Duration expired = NOW.minus(LeavingServers.LIFETIME).minusMillis(1);
    assertThat(leavingServers.record("a@1", expired, NOW)).isFalse();
    assertThat(leavingServers.announcements(NOW)).isEmpty();
  }

  @Test
  void floodOfAnnouncementsDropsTheOldest() {
    for (int i = 0; i <= LeavingServers.MAX_RUNS; i++) {
      leavingServers.record("run-" + i, NOW.plusMillis(i), NOW.plusMillis(i));
    }
    assertThat(leavingServers.announcements(NOW.plusMillis(LeavingServers.MAX_RUNS)))
        .hasSize(LeavingServers.MAX_RUNS)
        .doesNotContainKey("run-0");
  }
}
