package org.wigeonstage.benchmark;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.AccountSpec;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.ConfigurationParser;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.config.TierSpec;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.ledger.LedgerLimits;
import org.wigeonstage.ledger.RequestLedger;
import org.wigeonstage.membership.AgentRegistration;
import org.wigeonstage.queue.AdaptiveDispatchWindow;
import org.wigeonstage.queue.FairTierQueue;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;
import org.wigeonstage.routing.AgentState;

/** Measures the heap memory used by single items of state. Not part of the tests. */
public final class MemoryBenchmark {

  private static final int COUNT = 100_000;
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  private MemoryBenchmark() {}

  /** Prints the bytes of heap memory used by each kind of item. */
  public static void main(String[] args) {
    print("completed request in a ledger", COUNT, count -> ledger(count, false));
    print(
        "completed request with idempotency key and response of 200 bytes in a ledger",
        COUNT,
        count -> ledger(count, true));
    print("state of an agent at an entry", COUNT, MemoryBenchmark::agents);
    print(
        "client account with six backend servers in a configuration document",
        340,
        MemoryBenchmark::document);
    AgentRegistration registration =
        new AgentRegistration("agent-1234", "10.100.100.100:7101", "region-1-a", 1L << 40);
    System.out.printf("registration: %d bytes of JSON%n", Json.write(registration).length());
  }

  private static void print(String label, int count, IntFunction<Object> factory) {
    Object small = factory.apply(count / 10);
    long usedBefore = usedHeapBytes();
    Object large = factory.apply(count);
    long usedBytes = usedHeapBytes() - usedBefore;
    // Printing the number of objects keeps both reachable until the heap has been measured.
    System.out.printf(
        "%s: %d bytes per item, measured with %d items (%d objects retained)%n",
        label, usedBytes / count, count, List.of(small, large).size());
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static Object ledger(int count, boolean hasKeys) {
    RequestLedger ledger =
        new RequestLedger(
            "agent",
            1,
            LedgerLimits.AGENT_LIMITS,
            new FairTierQueue(64),
            new AdaptiveDispatchWindow(1, 16, 0.1, Duration.ofMillis(34)),
            () -> NOW,
            new NoEffects());
    ledger.markKeyHistoryComplete();
    for (int i = 0; i < count; i++) {
      RequestId id = RequestId.create(NOW);
      IdempotencyKey key =
          hasKeys ? new IdempotencyKey("account", "key-" + i, "d".repeat(64)) : null;
      HttpCall call = new HttpCall("POST", "/v1/chat/completions", null, new byte[4000]);
      RequestSpec spec =
          new RequestSpec(
              "account", Tier.of(1), "pool", false, key, RequestCost.SERVICE_CALL, call, null);
      ledger.receive(LinkId.of(1), new Message.Offer(id, 1, NOW.plusSeconds(10), false, 0, spec));
      ledger.responseStarted(id, 200, null);
      ledger.responsePartReceived(id, new byte[200]);
      ledger.responseEnded(id, Outcome.COMPLETED);
      ledger.receive(LinkId.of(1), new Message.Acknowledge(id, 200));
    }
    return ledger;
  }

  private static Object agents(int count) {
    List<AgentState> agents = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      agents.add(new AgentState("agent-" + i, "fd"));
    }
    return agents;
  }

  private static Object document(int accounts) {
    List<AccountSpec> accountSpecs = new ArrayList<>();
    List<MemberSpec> members = new ArrayList<>();
    for (int i = 0; i < accounts; i++) {
      accountSpecs.add(new AccountSpec("a" + i, List.of(String.format("%064x", i)), "t", 10));
    }
    for (int i = 0; i < accounts * 6; i++) {
      members.add(new MemberSpec("agent-" + i, "fd-" + i % 24));
    }
    PoolSpec pool = new PoolSpec("p", PoolSpec.Kind.MODEL, List.of("m"), members, true);
    ConfigurationDocument document =
        new ConfigurationDocument(
            List.of(new TierSpec("t", 1000, 2000)), accountSpecs, List.of(pool), List.of());
    return ConfigurationParser.parse(Json.write(document));
  }
}
