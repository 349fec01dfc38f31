package org.wigeonstage.crash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.crash.PromptAdmission.Kind.ADMITTED;
import static org.wigeonstage.crash.PromptAdmission.Kind.DEFERRED;
import static org.wigeonstage.crash.PromptAdmission.Kind.HELD;
import static org.wigeonstage.crash.PromptAdmission.Kind.TRIAL;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PromptGuardTest {

  private static final String POOL = "engines";
  private static final List<String> GUILTY = List.of("first", "bad");

  private final RecordingListener listener = new RecordingListener();
  private final PromptGuard guard = new PromptGuard(listener);
  private Duration now = Duration.ofHours(1);
  private int crashCount;

  private static final class RecordingListener implements HoldListener {
    private final List<Set<String>> held = new ArrayList<>();
    private final List<Set<String>> released = new ArrayList<>();
    private int updateCount;

    @Override
    public void held(PartHold hold) {
      held.add(hold.parts());
    }

    @Override
    public void released(Set<String> parts) {
      released.add(parts);
    }

    @Override
    public void updated() {
      updateCount++;
    }
  }

  private void pass(Duration time) {
    now = now.plus(time);
  }

  /** A server ends with requests that have just begun; returns the run of the server. */
  @SafeVarargs
  private String crash(List<String>... victims) {
    return crash(false, victims);
  }

  @SafeVarargs
  private String crash(boolean isTrial, List<String>... victims) {
    pass(Duration.ofMillis(300));
    String run = "run-" + crashCount++;
    for (List<String> victim : victims) {
      guard.recordLoss(run, POOL, victim, isTrial, now);
    }
    return run;
  }

  private PromptAdmission.Kind decide(String... parts) {
    return guard.decide(List.of(parts), POOL, now).kind();
  }

  /** Three servers end under the guilty part, while the first part is cleared by others. */
  private void holdGuiltyPart() {
    for (int i = 0; i < 3; i++) {
      crash(GUILTY);
      guard.recordResponse(List.of("first", "sound"), POOL, now);
    }
    pass(Duration.ofMillis(500));
  }

  @Test
  void thirdCrashUnderAPartHoldsRequestsWithIt() {
    crash(GUILTY);
    crash(GUILTY);
    guard.recordResponse(List.of("first"), POOL, now);
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
    crash(GUILTY);
    assertThat(decide("other", "bad")).isEqualTo(DEFERRED);
    assertThat(decide("first")).isEqualTo(ADMITTED);
    pass(Duration.ofMillis(500));
    assertThat(decide("other", "bad")).isEqualTo(HELD);
    assertThat(listener.held).containsExactly(Set.of("bad"));
  }

  @Test
  void responseThatAServerContinuesClearsTheParts() {
    crash(GUILTY);
    crash(GUILTY);
    guard.recordResponse(GUILTY, POOL, now);
    crash(GUILTY);
    crash(GUILTY);
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
  }

  @Test
  void responseFromAnotherPoolDoesNotClearTheParts() {
    crash(GUILTY);
    crash(GUILTY);
    guard.recordResponse(GUILTY, "other-pool", now);
    crash(GUILTY);
    assertThat(decide("first", "bad")).isNotEqualTo(ADMITTED);
    assertThat(guard.decide(GUILTY, "other-pool", now).kind()).isEqualTo(ADMITTED);
  }

  @Test
  void serverThatGoesOnHasNotCrashed() {
    Duration sentAt = now;
    String run = crash(GUILTY);
    crash(GUILTY);
    pass(Duration.ofMillis(400));
    assertThat(guard.recordSignOfLife(run, sentAt, now)).isTrue();
    assertThat(guard.recordSignOfLife(run, sentAt, now)).isFalse();
    crash(GUILTY);
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
  }

  @Test
  void whatAServerSentBeforeItsEndIsNoSignOfLife() {
    Duration sentAt = now;
    String run = crash(GUILTY);
    assertThat(guard.recordSignOfLife(run, sentAt, now.plusMillis(100))).isFalse();
  }

  @Test
  void responseToALaterRequestMayComeFromTheServersNextRun() {
    String run = crash(GUILTY);
    pass(Duration.ofSeconds(3));
    assertThat(guard.recordSignOfLife(run, now.minusSeconds(1), now)).isFalse();
  }

  @Test
  void serversThatEndAtOnceAreOneOccasion() {
    for (int i = 0; i < 20; i++) {
      guard.recordLoss("run-" + i, POOL, GUILTY, false, now.plusMillis(i % 5));
    }
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
  }

  @Test
  void partsThatOnlyCameTogetherAreHeldOnlyTogether() {
    for (int i = 0; i < 3; i++) {
      crash(List.of("x", "y"));
    }
    pass(Duration.ofMillis(500));
    assertThat(decide("y", "z", "x")).isEqualTo(HELD);
    assertThat(decide("x")).isEqualTo(ADMITTED);
    guard.recordResponse(List.of("x"), POOL, now);
    pass(Duration.ofMillis(500));
    assertThat(decide("y")).isEqualTo(HELD);
  }

  @Test
  void requestsThatRanBesideTheGuiltyOneAreNotHeld() {
    crash(GUILTY, List.of("first", "bystander"));
    crash(GUILTY, List.of("first", "bystander"));
    crash(GUILTY, List.of("first", "bystander"));
    crash(GUILTY);
    guard.recordResponse(List.of("first"), POOL, now);
    pass(Duration.ofMillis(500));
    assertThat(decide("first", "bystander")).isEqualTo(ADMITTED);
    assertThat(decide("first", "bad")).isEqualTo(HELD);
  }

  @Test
  void twoGuiltyPartsAreHeldAlsoIfSomeCrashesAreCommon() {
    for (int i = 0; i < 2; i++) {
      crash(List.of("a"), List.of("b"));
      crash(List.of("a"));
      crash(List.of("b"));
    }
    pass(Duration.ofMillis(500));
    assertThat(decide("a")).isEqualTo(HELD);
    assertThat(decide("b")).isEqualTo(HELD);
  }

  @Test
  void successfulTrialReleasesTheParts() {
    holdGuiltyPart();
    pass(Duration.ofSeconds(2));
    assertThat(decide("first", "bad")).isEqualTo(TRIAL);
    assertThat(decide("first", "bad")).isEqualTo(HELD);
    guard.recordResponse(GUILTY, POOL, now);
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
    assertThat(listener.released).containsExactly(Set.of("bad"));
  }

  @Test
  void failedTrialPostponesTheNextOne() {
    holdGuiltyPart();
    pass(Duration.ofSeconds(2));
    assertThat(decide("first", "bad")).isEqualTo(TRIAL);
    crash(true, GUILTY);
    guard.recordResponse(List.of("first"), POOL, now);
    pass(Duration.ofSeconds(29));
    assertThat(decide("first", "bad")).isEqualTo(HELD);
    pass(Duration.ofSeconds(2));
    assertThat(decide("first", "bad")).isEqualTo(TRIAL);
    crash(true, GUILTY);
    guard.recordResponse(List.of("first"), POOL, now);
    pass(Duration.ofMinutes(59));
    assertThat(decide("first", "bad")).isEqualTo(HELD);
  }

  @Test
  void trialsAreMadeInTurn() {
    guard.setOwnTurn(turn -> turn.endsWith("/1"));
    holdGuiltyPart();
    pass(Duration.ofSeconds(2));
    assertThat(decide("first", "bad")).isEqualTo(HELD);
    pass(Duration.ofSeconds(3));
    assertThat(decide("first", "bad")).isEqualTo(TRIAL);
  }

  @Test
  void trialWithAnotherSuspectIsNotMade() {
    holdGuiltyPart();
    crash(List.of("first", "other"));
    crash(List.of("first", "other"));
    pass(Duration.ofSeconds(3));
    assertThat(decide("bad", "other")).isEqualTo(HELD);
    assertThat(decide("bad")).isEqualTo(TRIAL);
  }

  @Test
  void operatorsHoldAndReleaseParts() {
    holdGuiltyPart();
    guard.applyOverrides(Set.of("banned"), Set.of("bad"), now);
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
    assertThat(decide("first", "banned")).isEqualTo(HELD);
    guard.applyOverrides(Set.of(), Set.of(), now);
    pass(Duration.ofMillis(500));
    assertThat(decide("first", "bad")).isEqualTo(HELD);
    assertThat(decide("first", "banned")).isEqualTo(ADMITTED);
  }

  @Test
  void crashSeenByTwoGatewaysCountsOnce() {
    PromptGuard peer = new PromptGuard(new RecordingListener());
    for (int i = 0; i < 2; i++) {
      String run = crash(GUILTY);
      peer.recordLoss(run, POOL, List.of("first", "bad", "third"), false, now.plusMillis(80));
    }
    guard.applyReports(peer.takeOwnChanges(now.plusMillis(100)), now.plusMillis(100));
    pass(Duration.ofSeconds(1));
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
  }

  @Test
  void reportsInAnyOrderAndRepeatedGiveTheSameHolds() {
    holdGuiltyPart();
    List<CrashReport> reports = guard.takeOwnChanges(now);
    for (int seed = 0; seed < 50; seed++) {
      List<CrashReport> shuffled = new ArrayList<>(reports);
      shuffled.addAll(guard.fullReports(now));
      Collections.shuffle(shuffled, new Random(seed));
      PromptGuard peer = new PromptGuard(new RecordingListener());
      shuffled.forEach(report -> peer.applyReports(List.of(report), now));
      assertThat(peer.decide(GUILTY, POOL, now).kind()).isNotEqualTo(ADMITTED);
      assertThat(peer.decide(List.of("first"), POOL, now).kind()).isEqualTo(ADMITTED);
    }
  }

  @Test
  void floodOfPartsNeitherEndsAHoldNorHoldsSoundRequests() {
    holdGuiltyPart();
    for (int i = 0; i < 500; i++) {
      List<String> flood = new ArrayList<>();
      for (int part = 0; part < 100; part++) {
        flood.add("flood-" + i + "-" + part);
      }
      crash(flood, List.of("first", "session-" + i));
      guard.recordResponse(List.of("first"), POOL, now);
    }
    assertThat(guard.fullReports(now)).hasSizeLessThanOrEqualTo(CrashEvidence.MAX_CRASHES);
    guard.setOwnTurn(turn -> false);
    assertThat(decide("first", "bad")).isEqualTo(HELD);
    assertThat(decide("first", "session-1", "flood-1-1")).isEqualTo(ADMITTED);
  }

  @Test
  void victimWithManyPartsDisplacesNoOther() {
    List<String> flood = new ArrayList<>();
    for (int part = 0; part < ServerCrash.MAX_PARTS; part++) {
      flood.add("flood-" + part);
    }
    for (int i = 0; i < 3; i++) {
      crash(flood, List.of("bad"));
    }
    pass(Duration.ofMillis(500));
    assertThat(decide("bad")).isEqualTo(HELD);
  }

  /** Guards against gateways that stop responding while they search long prompts. */
  @Test
  void searchesFollowNoFasterThanTheirStepsAllow() {
    List<String> document = new ArrayList<>();
    for (int part = 0; part < ServerCrash.MAX_PARTS / 2; part++) {
      document.add("document-" + part);
    }
    for (int i = 0; i < CrashEvidence.MAX_CRASHES; i++) {
      crash(document, List.of("victim-" + i));
    }
    pass(Duration.ofSeconds(1));
    int updatesBefore = listener.updateCount;
    Duration length = Duration.ofSeconds(2);
    for (int milli = 0; milli < length.toMillis(); milli++) {
      pass(Duration.ofMillis(1));
      guard.recordResponse(List.of("victim-" + milli % CrashEvidence.MAX_CRASHES), POOL, now);
      guard.recordLoss("run-x" + milli % 2, POOL, List.of("late-" + milli), false, now);
      guard.decide(document, POOL, now);
    }
    long leastSteps = (long) (CrashEvidence.MAX_CRASHES - 2) * document.size();
    long allowed = length.toMillis() * PromptGuard.STEPS_PER_MILLI / leastSteps + 1;
    assertThat((long) listener.updateCount - updatesBefore).isBetween(1L, allowed);
    assertThat(guard.decide(document, POOL, now).kind()).isNotEqualTo(ADMITTED);
  }

  @Test
  void crashesWithoutHoldCountForTenMinutes() {
    crash(GUILTY);
    crash(GUILTY);
    pass(CrashEvidence.LIFETIME);
    guard.tick(now.plusSeconds(1));
    pass(Duration.ofSeconds(1));
    crash(GUILTY);
    assertThat(decide("first", "bad")).isEqualTo(ADMITTED);
  }

  @Test
  void holdLastsAsLongAsNoTrialSucceeds() {
    holdGuiltyPart();
    guard.setOwnTurn(turn -> false);
    for (int minute = 0; minute < 23 * 60; minute++) {
      pass(Duration.ofMinutes(1));
      guard.tick(now);
      assertThat(decide("first", "bad")).isEqualTo(HELD);
    }
  }
}
