package org.wigeonstage.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonstage.wire.MessageEncoder;

/** Tests the reports of a gateway whose load changes a little between two of them. */
class LoadChangesTest {

  private static final Message.GatewayLoad NOTHING =
      new Message.GatewayLoad(true, false, Map.of(), List.of(), Map.of(), Map.of(), Map.of());

  private static Message.GatewayLoad load(
      Map<String, Integer> running, List<WaitingCount> waiting, Map<String, Long> usage) {
    return new Message.GatewayLoad(true, false, running, waiting, usage, Map.of(), Map.of());
  }

  private static Message.GatewayLoad randomLoad(Random random) {
    Map<String, Integer> running = new HashMap<>();
    Map<String, Long> usage = new HashMap<>();
    List<WaitingCount> waiting = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      if (random.nextBoolean()) {
        running.put("server-" + i, 1 + random.nextInt(3));
      }
      usage.put("account-" + i, (long) random.nextInt(3));
      if (random.nextBoolean()) {
        waiting.add(new WaitingCount("pool", i, 0, 1 + random.nextInt(3)));
      }
    }
    return load(running, waiting, usage);
  }

  private static void assertSameLoad(Message.GatewayLoad actual, Message.GatewayLoad expected) {
    assertThat(actual.isComplete()).isTrue();
    assertThat(actual.isLeaving()).isEqualTo(expected.isLeaving());
    assertThat(actual.runningByServer()).isEqualTo(expected.runningByServer());
    assertThat(actual.waiting()).containsExactlyInAnyOrderElementsOf(expected.waiting());
    assertThat(actual.totalUsage()).isEqualTo(expected.totalUsage());
  }

  @Property(tries = 500, seed = "28")
  void aPeerThatAppliesAllChangesKnowsTheLoad(@ForAll long seed) {
    Random random = new Random(seed);
    Message.GatewayLoad sent = randomLoad(random);
    Message.GatewayLoad known = LoadChanges.apply(NOTHING, sent);
    for (int i = 0; i < 10; i++) {
      Message.GatewayLoad next = randomLoad(random);
      known = LoadChanges.apply(known, LoadChanges.between(sent, next));
      assertSameLoad(known, next);
      sent = next;
    }
  }

  @Test
  void aServerOnWhichNothingRunsAnyMoreIsReportedWithZero() {
    Message.GatewayLoad before = load(Map.of("a", 2, "b", 1), List.of(), Map.of());
    Message.GatewayLoad after = load(Map.of("a", 2, "b", 0), List.of(), Map.of());
    assertThat(LoadChanges.between(before, after).runningByServer()).isEqualTo(Map.of("b", 0));
    Message.GatewayLoad removed = load(Map.of("a", 2), List.of(), Map.of());
    assertThat(LoadChanges.between(before, removed).runningByServer()).isEqualTo(Map.of("b", 0));
  }

  /** 48 servers and 13 accounts, of which three servers and two accounts change in 50 ms. */
  @Test
  void changesInALargeFleetTakeATenthOfTheBytesOfACompleteLoad() {
    Map<String, Integer> running = new HashMap<>();
    for (int i = 0; i < 48; i++) {
      running.put("i-1aaf1000" + i, 1);
    }
    Map<String, Long> usage = new HashMap<>();
    for (int i = 0; i < 13; i++) {
      usage.put("account" + i, 1_000_000L + i);
    }
    Message.GatewayLoad before =
        new Message.GatewayLoad(true, false, running, List.of(), usage, usage, usage);
    for (int i = 0; i < 3; i++) {
      running.put("i-1aaf1000" + i, 2);
    }
    usage.put("account1", 1_005_000L);
    usage.put("account2", 1_007_000L);
    Message.GatewayLoad after =
        new Message.GatewayLoad(true, false, running, List.of(), usage, usage, usage);
    assertThat(MessageEncoder.encode(LoadChanges.between(before, after)).length * 10)
        .isLessThan(MessageEncoder.encode(after).length);
  }

  @Test
  void anUnchangedLoadIsReportedWithoutEntries() {
    Message.GatewayLoad load = randomLoad(new Random(1));
    assertThat(MessageEncoder.encode(LoadChanges.between(load, load))).hasSizeLessThan(16);
  }
}
