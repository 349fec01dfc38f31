package org.wigeonstage.peering;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Collections2;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.peering.SimulatedNetwork.Connection;
import org.wigeonstage.peering.SimulatedNetwork.Gateway;

/** Tests the choice between links with both ends of each, in virtual time. */
class PeerLinksTest {

  private static final GatewayRun RUN_A = new GatewayRun("a", 100);
  private static final GatewayRun RUN_B = new GatewayRun("b", 200);
  private static final Duration SETTLING_TIME = Duration.ofSeconds(1);
  private static final Duration LONG = Duration.ofSeconds(10);

  private final SimulatedNetwork network = new SimulatedNetwork();
  private final Gateway a = network.new CurrentGateway(RUN_A, true, 1);
  private final Gateway b = network.new CurrentGateway(RUN_B, true, 2);
  private final Gateway earlierA = network.new EarlierGateway(RUN_A);
  private final Gateway earlierB = network.new EarlierGateway(RUN_B);

  /** The order in which four hello messages arrive; 0 and 1 are on the link that b has opened. */
  static Collection<List<Integer>> ordersOfHellos() {
    return Collections2.permutations(List.of(0, 1, 2, 3));
  }

  private void startBoth(Gateway first, Gateway second) {
    first.start(second);
    second.start(first);
  }

  private static void setHelloOrder(
      SimulatedNetwork network, Gateway first, Gateway second, List<Integer> order) {
    Duration[] delays = new Duration[4];
    for (int i = 0; i < 4; i++) {
      delays[order.get(i)] = Duration.ofMillis(5L + 3L * i);
    }
    network.setHelloDelay(second, first, delays[0]);
    network.setHelloDelay(second, second, delays[1]);
    network.setHelloDelay(first, first, delays[2]);
    network.setHelloDelay(first, second, delays[3]);
  }

  private static void assertOneLink(Gateway first, Gateway second) {
    assertThat(first.preferred()).isPresent().isEqualTo(second.preferred());
  }

  private static long count(Gateway gateway, String text) {
    return gateway.log.stream().filter(line -> line.startsWith(text)).count();
  }

  /** Checks that a pair has connected once, and has lost neither a link nor a report. */
  private void assertSettled() {
    assertOneLink(a, b);
    for (Gateway gateway : List.of(a, b)) {
      assertThat(count(gateway, "connected")).as("%s", gateway.log).isEqualTo(1);
      assertThat(count(gateway, "lost")).as("%s", gateway.log).isZero();
      assertThat(gateway.lostReports).isZero();
      assertThat(gateway.dials).isLessThanOrEqualTo(1);
    }
  }

  @ParameterizedTest
  @MethodSource("ordersOfHellos")
  void keepsOneLinkInEachOrderOfTheHellos(List<Integer> order) {
    setHelloOrder(network, a, b, order);
    startBoth(a, b);
    network.run(LONG);
    assertSettled();
    assertThat(a.preferred().map(Connection::dialler)).contains(b);
    assertThat(a.log).contains("closed superseded");
    assertThat(b.log).contains("closed superseded");
  }

  @Test
  void keepsOneLinkWithRandomDelaysOnBothSides() {
    for (int seed = 0; seed < 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      SimulatedNetwork other = new SimulatedNetwork();
      other.setDelay((from, to) -> Duration.ofMillis(1 + random.nextInt(60)));
      Gateway first = other.new CurrentGateway(RUN_A, true, seed);
      Gateway second = other.new CurrentGateway(RUN_B, true, seed + 1L);
      first.start(second);
      other.after(Duration.ofMillis(random.nextInt(100)), () -> second.start(first));
      other.run(LONG);
      assertOneLink(first, second);
      for (Gateway gateway : List.of(first, second)) {
        assertThat(count(gateway, "connected")).as("seed %s", seed).isEqualTo(1);
        assertThat(gateway.lostReports).as("seed %s", seed).isZero();
      }
    }
  }

  /** Shows that the simulation contains the fault: the links of earlier builds stay crossed. */
  @Test
  void earlierBuildsStayCrossedInSomeOrderOfTheHellos() {
    List<Integer> dials = new ArrayList<>();
    for (List<Integer> order : ordersOfHellos()) {
      SimulatedNetwork other = new SimulatedNetwork();
      Gateway first = other.new EarlierGateway(RUN_A);
      Gateway second = other.new EarlierGateway(RUN_B);
      setHelloOrder(other, first, second, order);
      first.start(second);
      second.start(first);
      other.run(LONG);
      dials.add(first.dials);
    }
    assertThat(dials).anyMatch(count -> count > 10);
  }

  @ParameterizedTest
  @MethodSource("ordersOfHellos")
  void staysConnectedWithAnEarlierBuildInEachOrderOfTheHellos(List<Integer> order) {
    setHelloOrder(network, a, earlierB, order);
    startBoth(a, earlierB);
    network.run(LONG);
    assertOneLink(a, earlierB);
    assertThat(a.dials + earlierB.dials).isLessThanOrEqualTo(2);
    assertThat(count(a, "lost")).isZero();
    assertThat(count(earlierB, "lost")).isZero();
  }

  @ParameterizedTest
  @MethodSource("ordersOfHellos")
  void staysConnectedWithAnEarlierBuildThatStartedBefore(List<Integer> order) {
    setHelloOrder(network, earlierA, b, order);
    startBoth(earlierA, b);
    network.run(LONG);
    assertOneLink(earlierA, b);
    assertThat(earlierA.dials + b.dials).isLessThanOrEqualTo(2);
  }

  @Test
  void settlesOnTheOtherLinkIfHelloIsLost() {
    for (Gateway dialler : List.of(a, b)) {
      for (Gateway receiver : List.of(a, b)) {
        SimulatedNetwork other = new SimulatedNetwork();
        Gateway first = other.new CurrentGateway(RUN_A, true, 1);
        Gateway second = other.new CurrentGateway(RUN_B, true, 2);
        other.loseNextHello(dialler == a ? first : second, receiver == a ? first : second);
        first.start(second);
        second.start(first);
        other.run(LONG);
        assertOneLink(first, second);
        assertThat(count(first, "connected") + count(second, "connected")).isEqualTo(2);
      }
    }
  }

  @Test
  void prefersTheLinkOfALaterRunOverAHalfOpenOne() {
    startBoth(a, b);
    network.run(SETTLING_TIME);
    network.stopSilently(b);
    Gateway restarted = network.new CurrentGateway(new GatewayRun("b", 300), true, 3);
    a.peer = restarted;
    restarted.start(a);
    network.run(Duration.ofMillis(60));
    assertOneLink(a, restarted);
    assertThat(a.log).contains("connected 300");
    network.run(LONG);
    assertThat(a.log).contains("closed older-incarnation");
    assertThat(count(a, "connected")).isEqualTo(2);
    assertThat(count(a, "lost")).isZero();
  }

  /** A clock that is set back before a restart gives the later run a lower incarnation. */
  @Test
  void connectsAfterARestartWithALowerIncarnationOnceTheHalfOpenLinkIsSilent() {
    startBoth(a, b);
    network.run(SETTLING_TIME);
    network.stopSilently(b);
    Gateway restarted = network.new CurrentGateway(new GatewayRun("b", 150), true, 3);
    a.peer = restarted;
    restarted.start(a);
    network.run(Duration.ofSeconds(2));
    assertOneLink(a, restarted);
    assertThat(a.log).contains("refused older-incarnation", "lost silent", "connected 150");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void connectsIfOnlyOneOfTheTwoCanConnect(boolean isLaterRunAble) {
    network.preventDialling(isLaterRunAble ? RUN_A : RUN_B);
    startBoth(a, b);
    network.run(SETTLING_TIME);
    assertOneLink(a, b);
    network.run(LONG);
    assertSettledLinks();
  }

  private void assertSettledLinks() {
    assertOneLink(a, b);
    assertThat(count(a, "connected")).isEqualTo(1);
    assertThat(count(b, "connected")).isEqualTo(1);
  }

  /** A link is believed alive by what arrives on it, so both ends give it up. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void hasOneLinkWithinASecondAfterACut(boolean isOneWay) {
    startBoth(a, b);
    network.run(SETTLING_TIME);
    network.cut(a, b);
    if (!isOneWay) {
      network.cut(b, a);
    }
    network.run(Duration.ofSeconds(3));
    assertThat(b.preferred()).isEmpty();
    network.healCuts();
    network.run(SETTLING_TIME);
    assertOneLink(a, b);
    network.run(LONG);
    assertThat(count(a, "connected")).as("%s", a.log).isEqualTo(2);
    assertThat(count(b, "connected")).as("%s", b.log).isEqualTo(2);
  }

  @Test
  void onlyTheLaterRunConnectsToAGatewayThatIsListedLater() {
    Gateway waiting = network.new CurrentGateway(RUN_A, false, 1);
    waiting.start(b);
    b.start(waiting);
    network.run(LONG);
    assertOneLink(waiting, b);
    assertThat(waiting.dials).isZero();
    assertThat(b.dials).isEqualTo(1);
  }

  @Test
  void refusesMoreLinksThanAPeerNeedsAndKeepsTheExchange() {
    startBoth(a, b);
    network.run(SETTLING_TIME);
    for (int i = 0; i < 100; i++) {
      network.open(new Connection(b, a));
    }
    network.run(LONG);
    assertThat(a.log.stream().filter("refused too-many-links"::equals)).hasSize(1);
    assertOneLink(a, b);
    assertThat(count(a, "connected")).isEqualTo(1);
    assertThat(count(a, "lost")).isZero();
  }

  @Test
  void refusesAnEarlierRunWhileALaterOneIsConnected() {
    startBoth(a, b);
    network.run(SETTLING_TIME);
    Gateway namesake = network.new CurrentGateway(new GatewayRun("b", 150), true, 3);
    namesake.start(a);
    network.run(LONG);
    assertThat(a.log.stream().filter("refused older-incarnation"::equals)).hasSize(1);
    assertThat(namesake.log.stream().filter("refused by peer older-incarnation"::equals))
        .hasSize(1);
    assertThat(namesake.dials).isLessThanOrEqualTo(5);
    assertSettled();
  }

  @Test
  void keepsOnlyTheLaterOfTwoGatewaysOfOneName() {
    startBoth(a, b);
    network.run(SETTLING_TIME);
    Gateway namesake = network.new CurrentGateway(new GatewayRun("b", 300), true, 3);
    namesake.start(a);
    network.run(LONG);
    assertOneLink(a, namesake);
    assertThat(count(a, "connected")).isEqualTo(2);
    assertThat(count(a, "lost")).isZero();
    assertThat(b.log).contains("lost older-incarnation");
    assertThat(count(b, "lost")).isEqualTo(1);
  }

  @Test
  void closesALinkOnWhichNothingFollowsTheHello() {
    startBoth(a, b);
    network.run(SETTLING_TIME);
    Gateway mute = network.new CurrentGateway(new GatewayRun("b", 300), true, 3);
    mute.peer = a;
    network.open(new Connection(mute, a));
    network.after(Duration.ofMillis(1), () -> network.stopSilently(mute));
    network.run(LONG);
    assertSettled();
  }

  @Test
  void doesNotTakeItsOwnPauseForSilence() {
    List<String> log = new ArrayList<>();
    PeerLinks<String> links =
        new PeerLinks<>(RUN_A, false, new RecordedActions(log), new SplittableRandom(1), ms(0));
    links.opened("link", RUN_B, false, true, ms(0));
    links.received("link", ms(0));
    links.tick(true, ms(50));
    links.tick(true, ms(5000));
    assertThat(links.preferred()).contains("link");
    for (int time = 5050; time <= 6000; time += 50) {
      links.tick(true, ms(time));
    }
    assertThat(links.preferred()).isEmpty();
    assertThat(log).contains("lost silent");
  }

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  /** Records changes of a peer's state. */
  private record RecordedActions(List<String> log) implements LinkActions<String> {

    @Override
    public void dial() {}

    @Override
    public void confirm(String link) {}

    @Override
    public void sendClosing(String link, CloseReason reason) {}

    @Override
    public void close(String link) {}

    @Override
    public void abort(String link) {}

    @Override
    public void closed(CloseReason reason) {}

    @Override
    public void connected(GatewayRun run, boolean isDialled, Duration sinceHeard) {
      log.add("connected");
    }

    @Override
    public void lost(CloseReason reason, Duration sinceHeard) {
      log.add("lost " + reason.text());
    }

    @Override
    public void refused(GatewayRun run, CloseReason reason, boolean byPeer) {
      log.add("refused " + reason.text());
    }
  }
}
