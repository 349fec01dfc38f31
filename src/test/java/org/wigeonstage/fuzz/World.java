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
 * Entries, agents, backend servers, callers and the network between them, with a clock of its own.
 *
 * <p>Each method is one step of a history. Steps that find nothing to do change nothing.
 */
final class World {

  private static final String POOL = "pool";
  private static final int ENTRIES = 2;
  private static final List<String> AGENTS = List.of("agent-1", "agent-2", "agent-3");
  private static final int TIERS = 4;
  private static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(18);
  private static final Duration RETRY_LIMIT = Duration.ofMinutes(9);
  private static final int QUIET_ROUNDS = 400;

  private record KeyUse(IdempotencyKey key, Instant firstUsed, boolean dated) {}

  final Mutation mutation;
  final ManualClock clock = new ManualClock();
  final Oracle oracle = new Oracle();
  ConfigurationDocument document = documentOf(AGENTS, null);
  private final List<FakeEntry> entries = new ArrayList<>();
  private final List<FakeAgent> agents = new ArrayList<>();
  private final List<FakeLink> links = new ArrayList<>();
  private final List<KeyUse> keys = new ArrayList<>();
  private final Map<RequestId, RequestSpec> specs = new HashMap<>();
  private Instant inForceBy = Instant.MAX;
  private long nextNumber = 1;

  World(Mutation mutation) {
    this.mutation = mutation;
    AGENTS.forEach(name -> agents.add(new FakeAgent(this, name, 1)));
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new FakeEntry(this, i));
    }
    entries.forEach(entry -> agents.forEach(agent -> connect(entry, agent)));
  }

  private static ConfigurationDocument documentOf(
      List<String> members, @Nullable MemberChange change) {
    List<MemberSpec> specs = members.stream().map(name -> new MemberSpec(name, "fd")).toList();
    PoolSpec pool =
        new PoolSpec(POOL, PoolSpec.Kind.SERVICE, List.of(), specs, true).withMemberChange(change);
    return new ConfigurationDocument(List.of(), List.of(), List.of(pool), List.of());
  }

  private static <T> T pick(RandomGenerator random, List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  RequestSpec submittedSpec(RequestId id, RequestSpec fallback) {
    return specs.getOrDefault(id, fallback);
  }

  void submit(RandomGenerator random) {
    IdempotencyKey key = random.nextInt(3) == 0 ? newKey(random.nextBoolean()) : null;
    submit(random, key);
  }

  private IdempotencyKey newKey(boolean dated) {
    long number = nextNumber++;
    String text = dated ? datedKey(number) : "key-" + number;
    IdempotencyKey key = new IdempotencyKey("account", text, "digest");
    keys.add(new KeyUse(key, clock.instant(), dated));
    return key;
  }

  private String datedKey(long number) {
    return String.format(
        "%08x-%04x-7000-8000-%012x", clock.millis() >>> 16, clock.millis() & 0xffff, number);
  }

  void retryKey(RandomGenerator random) {
    List<KeyUse> usable =
        keys.stream()
            .filter(
                use -> use.dated() || use.firstUsed().plus(RETRY_LIMIT).isAfter(clock.instant()))
            .toList();
    if (!usable.isEmpty()) {
      submit(random, pick(random, usable).key());
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
    specs.put(id, spec);
    FakeEntry entry = pick(random, entries);
    oracle.submitted(id, spec);
    entry.open.add(id);
    Instant now = clock.instant();
    entry.dispatcher.submit(id, spec, now.plusSeconds(1 + random.nextInt(30)), now.plusSeconds(60));
  }

  void deliver(RandomGenerator random) {
    if (links.isEmpty()) {
      return;
    }
    FakeLink link = pick(random, links);
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      if (random.nextBoolean()) {
        deliverToAgent(link);
      } else {
        deliverToEntry(link);
      }
    }
  }

  private boolean deliverToAgent(FakeLink link) {
    boolean possible = !link.agent.paused && !link.closedByAgent && agents.contains(link.agent);
    Message message = possible ? link.toAgent.pollFirst() : null;
    if (message == null) {
      return false;
    }
    link.agent.receive(link, message);
    return true;
  }

  private boolean deliverToEntry(FakeLink link) {
    Message message = link.closedByEntry ? null : link.toEntry.pollFirst();
    if (message == null) {
      return false;
    }
    link.entry.receive(link, message);
    return true;
  }

  void backendProgress(RandomGenerator random) {
    FakeAgent agent = pick(random, agents);
    if (!agent.paused) {
      agent.progress(random);
    }
  }

  void advance(RandomGenerator random) {
    long[] millis = {5, 50, 500, 3000, 12_000, 40_000, 400_000};
    pass(Duration.ofMillis(millis[random.nextInt(millis.length)]));
    for (FakeAgent agent : agents) {
      if (!agent.paused && random.nextInt(4) > 0) {
        agent.ledger.tick();
      }
    }
    for (FakeEntry entry : entries) {
      if (random.nextInt(4) > 0) {
        entry.dispatcher.tick();
      }
    }
  }

  void reconnect(RandomGenerator random) {
    connect(pick(random, entries), pick(random, agents));
  }

  private void connect(FakeEntry entry, FakeAgent agent) {
    FakeLink link = new FakeLink(LinkId.of(nextNumber++), entry, agent);
    links.add(link);
    agent.links.put(link.id, link);
    entry.connect(link);
    if (agent.leaving) {
      link.sendToEntry(new Message.Leaving());
    }
  }

  void closeLink(RandomGenerator random) {
    if (!links.isEmpty()) {
      FakeLink link = pick(random, links);
      link.entry.close(link);
    }
  }

  void silenceLink(RandomGenerator random) {
    if (!links.isEmpty()) {
      pick(random, links).goSilent();
    }
  }

  void noticeClose(RandomGenerator random) {
    if (!links.isEmpty()) {
      FakeLink link = pick(random, links);
      if (link.closedByEntry && !link.agent.paused) {
        noticeClose(link);
      }
    }
  }

  private void noticeClose(FakeLink link) {
    link.closedByAgent = true;
    link.agent.links.remove(link.id);
    link.agent.ledger.linkClosed(link.id);
    links.remove(link);
  }

  void restartAgent(RandomGenerator random) {
    int index = random.nextInt(agents.size());
    FakeAgent old = agents.get(index);
    for (FakeLink link : List.copyOf(old.links.values())) {
      links.remove(link);
      link.entry.close(link);
    }
    clock.advance(Duration.ofMillis(1));
    agents.set(index, new FakeAgent(this, old.name, old.incarnation + 1));
  }

  void restartEntry(RandomGenerator random) {
    int index = random.nextInt(entries.size());
    FakeEntry old = entries.get(index);
    old.open.forEach(oracle::gone);
    old.links.values().forEach(link -> link.closedByEntry = true);
    entries.set(index, new FakeEntry(this, nextNumber++));
  }

  void pauseAgent(RandomGenerator random) {
    FakeAgent agent = pick(random, agents);
    agent.paused = !agent.paused;
  }

  void leaveAgent(RandomGenerator random) {
    FakeAgent agent = pick(random, agents);
    if (!agent.paused) {
      agent.leave();
    }
  }

  /** Accepts a document with other members; nodes adopt it later, each in its own time. */
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
    adoptEverywhere();
    MemberChange earlier = current.memberChange();
    long now = clock.millis();
    boolean shortly =
        earlier != null && earlier.atMillis() + Duration.ofMinutes(30).toMillis() > now;
    MemberChange change = new MemberChange(now, shortly ? List.of() : current.memberNames());
    document = documentOf(members, change);
    inForceBy = clock.instant().plus(IN_FORCE_WITHIN);
  }

  void adopt(RandomGenerator random) {
    if (random.nextBoolean()) {
      pick(random, entries).adopt(document);
    } else {
      FakeAgent agent = pick(random, agents);
      if (!agent.paused) {
        agent.adopt(document);
      }
    }
  }

  /** A paused agent adopts nothing, and may act on what it was sent before. */
  private void adoptEverywhere() {
    entries.forEach(entry -> entry.adopt(document));
    agents.stream().filter(agent -> !agent.paused).forEach(agent -> agent.adopt(document));
  }

  private void pass(Duration time) {
    if (!clock.instant().plus(time).isBefore(inForceBy)) {
      adoptEverywhere();
    }
    clock.advance(time);
  }

  void callerGoes(RandomGenerator random) {
    FakeEntry entry = pick(random, entries);
    List<RequestId> open = entry.open.stream().sorted(World::byText).toList();
    if (!open.isEmpty()) {
      RequestId id = pick(random, open);
      entry.open.remove(id);
      oracle.gone(id);
      entry.dispatcher.callerDisconnected(id);
    }
  }

  private static int byText(RequestId a, RequestId b) {
    return a.value().compareTo(b.value());
  }

  /** Ends all faults, lets everything finish, and checks that every caller knows its outcome. */
  void settle() {
    agents.forEach(agent -> agent.paused = false);
    adoptEverywhere();
    for (FakeLink link : List.copyOf(links)) {
      link.entry.close(link);
      while (deliverToAgent(link)) {
        continue;
      }
      noticeClose(link);
    }
    entries.forEach(entry -> agents.forEach(agent -> connect(entry, agent)));
    for (int round = 0; round < QUIET_ROUNDS && isBusy(); round++) {
      settleOnce();
    }
    oracle.checkAllFinished();
  }

  private boolean isBusy() {
    return entries.stream().anyMatch(entry -> !entry.open.isEmpty());
  }

  private void settleOnce() {
    boolean moved = true;
    while (moved) {
      moved = false;
      for (FakeLink link : List.copyOf(links)) {
        moved |= deliverToAgent(link);
        moved |= deliverToEntry(link);
      }
    }
    agents.forEach(FakeAgent::completeAll);
    pass(Duration.ofMillis(500));
    agents.forEach(agent -> agent.ledger.tick());
    entries.forEach(entry -> entry.dispatcher.tick());
  }
}
