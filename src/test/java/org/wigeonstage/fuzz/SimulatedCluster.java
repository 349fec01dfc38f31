package org.wigeonstage.fuzz;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.MemberChange;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;

/**
 * Simulates entries, agents, backend servers, callers and the network between them, with a manual
 * clock.
 *
 * <p>Methods that take a random generator are steps of a history. A step that does not apply to the
 * current state has no effect.
 */
final class SimulatedCluster {

  private static final String POOL = "pool";
  private static final int ENTRIES = 2;
  private static final List<String> AGENTS = List.of("agent-1", "agent-2", "agent-3");
  private static final int TIERS = 4;

  /**
   * The longest time from the acceptance of a configuration until all entries, and all agents that
   * are not paused, apply it.
   */
  private static final Duration CONFIGURATION_PROPAGATION_TIME = Duration.ofSeconds(18);

  /**
   * The time in which callers retry keys without a timestamp; shorter than the 10 minutes that
   * agents remember keys.
   */
  private static final Duration KEY_RETRY_PERIOD = Duration.ofMinutes(9);

  private static final int MAX_SETTLE_ROUNDS = 400;

  private record UsedKey(IdempotencyKey key, Instant firstUsed, boolean hasTimestamp) {}

  final Mutation mutation;
  final ManualClock clock = new ManualClock();
  final Oracle oracle = new Oracle();
  ConfigurationDocument document = createDocument(AGENTS, null);
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final List<SimulatedAgent> agents = new ArrayList<>();
  private final List<SimulatedLink> links = new ArrayList<>();
  private final List<UsedKey> usedKeys = new ArrayList<>();
  private final Map<RequestId, RequestSpec> submittedSpecs = new HashMap<>();
  private Instant configurationAppliedBy = Instant.MAX;
  private long nextNumber = 1;

  SimulatedCluster(Mutation mutation) {
    this.mutation = mutation;
    AGENTS.forEach(name -> agents.add(new SimulatedAgent(this, name, 1)));
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new SimulatedEntry(this, i));
    }
    entries.forEach(entry -> agents.forEach(agent -> connect(entry, agent)));
  }

  private static ConfigurationDocument createDocument(
      List<String> members, @Nullable MemberChange change) {
    List<MemberSpec> specs = members.stream().map(name -> new MemberSpec(name, "fd")).toList();
    PoolSpec pool =
        new PoolSpec(POOL, PoolSpec.Kind.SERVICE, List.of(), specs, true).withMemberChange(change);
    return new ConfigurationDocument(List.of(), List.of(), List.of(pool), List.of());
  }

  private static <T> T randomElement(RandomGenerator random, List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  /**
   * Returns the spec as submitted, with the key that a mutation may have removed from the offer.
   */
  RequestSpec submittedSpec(RequestId id, RequestSpec fallback) {
    return submittedSpecs.getOrDefault(id, fallback);
  }

  void submit(RandomGenerator random) {
    IdempotencyKey key = random.nextInt(3) == 0 ? createKey(random.nextBoolean()) : null;
    submit(random, key);
  }

  private IdempotencyKey createKey(boolean hasTimestamp) {
    long number = nextNumber++;
    String text = hasTimestamp ? keyWithTimestamp(number) : "key-" + number;
    IdempotencyKey key = new IdempotencyKey("account", text, "digest");
    usedKeys.add(new UsedKey(key, clock.instant(), hasTimestamp));
    return key;
  }

  private String keyWithTimestamp(long number) {
    return String.format(
        "%08x-%04x-7000-8000-%012x", clock.millis() >>> 16, clock.millis() & 0xffff, number);
  }

  void retryKey(RandomGenerator random) {
    List<UsedKey> usable =
        usedKeys.stream()
            .filter(
                usedKey ->
                    usedKey.hasTimestamp()
                        || usedKey.firstUsed().plus(KEY_RETRY_PERIOD).isAfter(clock.instant()))
            .toList();
    if (!usable.isEmpty()) {
      submit(random, randomElement(random, usable).key());
    }
  }

  private void submit(RandomGenerator random, IdempotencyKey key) {
    RequestId id = RequestId.of("r" + nextNumber++);
    HttpCall call = new HttpCall("POST", "/", null, id.value().getBytes(StandardCharsets.UTF_8));
    RequestSpec spec =
        new RequestSpec(
            "account-" + random.nextInt(2),
            Tier.of(random.nextInt(TIERS)),
            POOL,
            random.nextBoolean(),
            key,
            RequestCost.SERVICE_CALL,
            call,
            null);
    submittedSpecs.put(id, spec);
    SimulatedEntry entry = randomElement(random, entries);
    oracle.recordSubmission(id, spec);
    entry.openRequests.add(id);
    Instant now = clock.instant();
    entry.coordinator.submit(
        id, spec, now.plusSeconds(1 + random.nextInt(30)), now.plusSeconds(60));
  }

  void deliver(RandomGenerator random) {
    if (links.isEmpty()) {
      return;
    }
    SimulatedLink link = randomElement(random, links);
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      if (random.nextBoolean()) {
        deliverToAgent(link);
      } else {
        deliverToEntry(link);
      }
    }
  }

  private boolean deliverToAgent(SimulatedLink link) {
    boolean canDeliver = !link.agent.paused && !link.closedByAgent && agents.contains(link.agent);
    Message message = canDeliver ? link.toAgent.pollFirst() : null;
    if (message == null) {
      return false;
    }
    link.agent.receive(link, message);
    return true;
  }

  private boolean deliverToEntry(SimulatedLink link) {
    Message message = link.closedByEntry ? null : link.toEntry.pollFirst();
    if (message == null) {
      return false;
    }
    link.entry.receive(link, message);
    return true;
  }

  void backendProgress(RandomGenerator random) {
    SimulatedAgent agent = randomElement(random, agents);
    if (!agent.paused) {
      agent.progress(random);
    }
  }

  void advance(RandomGenerator random) {
    long[] millis = {5, 50, 500, 3000, 12_000, 40_000, 400_000};
    advanceClock(Duration.ofMillis(millis[random.nextInt(millis.length)]));
    for (SimulatedAgent agent : agents) {
      if (!agent.paused && random.nextInt(4) > 0) {
        agent.ledger.tick();
      }
    }
    for (SimulatedEntry entry : entries) {
      if (random.nextInt(4) > 0) {
        entry.coordinator.tick();
      }
    }
  }

  void reconnect(RandomGenerator random) {
    connect(randomElement(random, entries), randomElement(random, agents));
  }

  private void connect(SimulatedEntry entry, SimulatedAgent agent) {
    SimulatedLink link = new SimulatedLink(LinkId.of(nextNumber++), entry, agent);
    links.add(link);
    agent.links.put(link.id, link);
    entry.connect(link);
    if (agent.leaving) {
      link.sendToEntry(new Message.Leaving());
    }
  }

  void closeLink(RandomGenerator random) {
    if (!links.isEmpty()) {
      SimulatedLink link = randomElement(random, links);
      link.entry.close(link);
    }
  }

  void discardLinkTraffic(RandomGenerator random) {
    if (!links.isEmpty()) {
      randomElement(random, links).discardTraffic();
    }
  }

  void detectClose(RandomGenerator random) {
    if (!links.isEmpty()) {
      SimulatedLink link = randomElement(random, links);
      if (link.closedByEntry && !link.agent.paused) {
        detectClose(link);
      }
    }
  }

  private void detectClose(SimulatedLink link) {
    link.closedByAgent = true;
    link.agent.links.remove(link.id);
    link.agent.ledger.linkClosed(link.id);
    links.remove(link);
  }

  void restartAgent(RandomGenerator random) {
    int index = random.nextInt(agents.size());
    SimulatedAgent old = agents.get(index);
    for (SimulatedLink link : List.copyOf(old.links.values())) {
      links.remove(link);
      link.entry.close(link);
    }
    clock.advance(Duration.ofMillis(1));
    agents.set(index, new SimulatedAgent(this, old.name, old.incarnation + 1));
  }

  void restartEntry(RandomGenerator random) {
    int index = random.nextInt(entries.size());
    SimulatedEntry old = entries.get(index);
    old.openRequests.forEach(oracle::recordDisconnect);
    old.links.values().forEach(link -> link.closedByEntry = true);
    entries.set(index, new SimulatedEntry(this, nextNumber++));
  }

  void pauseAgent(RandomGenerator random) {
    SimulatedAgent agent = randomElement(random, agents);
    agent.paused = !agent.paused;
  }

  void leaveAgent(RandomGenerator random) {
    SimulatedAgent agent = randomElement(random, agents);
    if (!agent.paused) {
      agent.leave();
    }
  }

  /** Accepts a document with other members, which entries and agents apply later independently. */
  void changeMembers(RandomGenerator random) {
    List<String> members = new ArrayList<>(AGENTS);
    members.remove(random.nextInt(members.size()));
    if (random.nextBoolean()) {
      members = AGENTS;
    }
    PoolSpec current = document.pools().get(0);
    if (members.equals(current.memberNames())) {
      return;
    }
    applyConfigurationEverywhere();
    MemberChange previous = current.memberChange();
    long now = clock.millis();
    // While an earlier change is retained, the former members are recorded as unknown.
    boolean isPreviousRetained =
        previous != null && previous.atMillis() + Duration.ofMinutes(30).toMillis() > now;
    MemberChange change =
        new MemberChange(now, isPreviousRetained ? List.of() : current.memberNames());
    document = createDocument(members, change);
    configurationAppliedBy = clock.instant().plus(CONFIGURATION_PROPAGATION_TIME);
  }

  void applyConfiguration(RandomGenerator random) {
    if (random.nextBoolean()) {
      randomElement(random, entries).applyConfiguration(document);
    } else {
      SimulatedAgent agent = randomElement(random, agents);
      if (!agent.paused) {
        agent.applyConfiguration(document);
      }
    }
  }

  /** Applies the document except at paused agents, which may still process earlier messages. */
  private void applyConfigurationEverywhere() {
    entries.forEach(entry -> entry.applyConfiguration(document));
    agents.stream()
        .filter(agent -> !agent.paused)
        .forEach(agent -> agent.applyConfiguration(document));
  }

  private void advanceClock(Duration time) {
    if (!clock.instant().plus(time).isBefore(configurationAppliedBy)) {
      applyConfigurationEverywhere();
    }
    clock.advance(time);
  }

  void disconnectCaller(RandomGenerator random) {
    SimulatedEntry entry = randomElement(random, entries);
    List<RequestId> open =
        entry.openRequests.stream().sorted(SimulatedCluster::compareByText).toList();
    if (!open.isEmpty()) {
      RequestId id = randomElement(random, open);
      entry.openRequests.remove(id);
      oracle.recordDisconnect(id);
      entry.coordinator.callerDisconnected(id);
    }
  }

  private static int compareByText(RequestId a, RequestId b) {
    return a.value().compareTo(b.value());
  }

  /** Ends all faults, completes all requests and checks that every caller received an outcome. */
  void settle() {
    agents.forEach(agent -> agent.paused = false);
    applyConfigurationEverywhere();
    for (SimulatedLink link : List.copyOf(links)) {
      link.entry.close(link);
      while (deliverToAgent(link)) {
        continue;
      }
      detectClose(link);
    }
    entries.forEach(entry -> agents.forEach(agent -> connect(entry, agent)));
    for (int round = 0; round < MAX_SETTLE_ROUNDS && hasOpenRequests(); round++) {
      settleOnce();
    }
    oracle.checkAllFinished();
  }

  private boolean hasOpenRequests() {
    return entries.stream().anyMatch(entry -> !entry.openRequests.isEmpty());
  }

  private void settleOnce() {
    boolean delivered = true;
    while (delivered) {
      delivered = false;
      for (SimulatedLink link : List.copyOf(links)) {
        delivered |= deliverToAgent(link);
        delivered |= deliverToEntry(link);
      }
    }
    agents.forEach(SimulatedAgent::completeAll);
    advanceClock(Duration.ofMillis(500));
    agents.forEach(agent -> agent.ledger.tick());
    entries.forEach(entry -> entry.coordinator.tick());
  }
}
