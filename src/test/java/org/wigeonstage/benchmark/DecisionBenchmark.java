package org.wigeonstage.benchmark;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.AccountSpec;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.ConfigurationParser;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.config.TierSpec;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.ledger.LedgerLimits;
import org.wigeonstage.ledger.RequestLedger;
import org.wigeonstage.queue.AdaptiveDispatchWindow;
import org.wigeonstage.queue.FairTierQueue;
import org.wigeonstage.queue.WaitingRequest;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;
import org.wigeonstage.routing.AgentState;
import org.wigeonstage.routing.Router;
import org.wigeonstage.routing.RoutingPolicy;
import org.wigeonstage.wire.MessageDecoder;
import org.wigeonstage.wire.MessageEncoder;

/**
 * Measures the mean time of single operations of an entry and an agent, for inputs of several
 * sizes.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {

  private static final HttpCall CALL = new HttpCall("POST", "/", null, new byte[200]);

  /** Runs all benchmarks, or those whose names match the argument. */
  public static void main(String[] args) throws RunnerException {
    new Runner(
            new OptionsBuilder()
                .include(
                    DecisionBenchmark.class.getSimpleName()
                        + (args.length == 0 ? "" : "." + args[0]))
                .build())
        .run();
  }

  private static RequestSpec spec(IdempotencyKey key) {
    RequestCost cost = new RequestCost(2000, 100, 12345);
    return new RequestSpec("account", Tier.of(1), "pool", false, key, cost, CALL, null);
  }

  /** The candidate agents of a routing decision. */
  @State(Scope.Thread)
  public static class Agents {
    @Param({"20", "200", "2000"})
    int count;

    final Router router = RoutingPolicy.PREFIX_AFFINITY.createRouter(new SplittableRandom(1));
    final List<AgentState> agents = new ArrayList<>();

    /** Creates agents with different loads. */
    @Setup
    public void create() {
      for (int i = 0; i < count; i++) {
        AgentState agent = new AgentState("agent-" + i, "fd");
        agent.applyLoadReport(
            new LoadReport(
                i % 16, 16, i % 5, i * 10L, 400, -1, Collections.nCopies(8, 8 - i % 16)));
        agents.add(agent);
      }
    }
  }

  /** Chooses the agent that a request is offered to. */
  @Benchmark
  public Optional<AgentState> route(Agents state) {
    return state.router.choose(spec(null), state.agents);
  }

  /** A queue with waiting requests. */
  @State(Scope.Thread)
  public static class Queue {
    @Param({"1000", "10000", "100000"})
    int waiting;

    final FairTierQueue queue = new FairTierQueue(200_000);
    int next;

    /** Fills the queue. */
    @Setup(Level.Iteration)
    public void fill() {
      while (queue.size() < waiting) {
        queue.add(request());
      }
    }

    WaitingRequest request() {
      int number = next++;
      return new WaitingRequest(
          RequestId.of("r" + number),
          "account-" + number % 340,
          Tier.of(number % 4),
          RequestCost.SERVICE_CALL,
          Instant.ofEpochMilli(number));
    }
  }

  /** Adds a request to the queue, and removes the one to dispatch next. */
  @Benchmark
  public Optional<WaitingRequest> addAndTake(Queue state) {
    state.queue.add(state.request());
    Optional<WaitingRequest> next = state.queue.peek();
    state.queue.remove(next.orElseThrow().id());
    return next;
  }

  /** A ledger whose effects do nothing. */
  @State(Scope.Thread)
  public static class Ledger {
    /**
     * After this many requests, the clock is set forward by more than the retention times, so that
     * the ledger removes its records.
     */
    private static final int REQUESTS_PER_TICK = 50_000;

    Instant now = Instant.parse("2026-01-01T00:00:00Z");
    RequestLedger ledger;
    int next;

    /** Creates an empty ledger. */
    @Setup(Level.Iteration)
    public void create() {
      ledger =
          new RequestLedger(
              "agent",
              1,
              new LedgerLimits(
                  100_000_000,
                  Duration.ofMinutes(5),
                  Duration.ofSeconds(2),
                  Duration.ofMinutes(10),
                  Duration.ofSeconds(60),
                  Duration.ofSeconds(10),
                  1 << 18,
                  1 << 18),
              new FairTierQueue(64),
              new AdaptiveDispatchWindow(1, 16, 0.1, Duration.ofMillis(34)),
              () -> now,
              new NoEffects());
      ledger.markKeyHistoryComplete();
    }

    void run(IdempotencyKey key) {
      RequestId id = RequestId.of("r" + next++);
      LinkId link = LinkId.of(1);
      ledger.receive(link, new Message.Offer(id, 1, now.plusSeconds(10), false, 0, spec(key)));
      ledger.responseStarted(id, 200, null);
      ledger.responsePartReceived(id, new byte[10]);
      ledger.responseEnded(id, Outcome.COMPLETED);
      ledger.receive(link, new Message.Acknowledge(id, 10));
      if (next % REQUESTS_PER_TICK == 0) {
        now = now.plusSeconds(2000);
        ledger.tick();
      }
    }
  }

  /** Runs a request through the ledger, from the offer to the acknowledgement of its response. */
  @Benchmark
  public void request(Ledger state) {
    state.run(null);
  }

  /** Runs a request with an idempotency key through the ledger, as {@link #request} does. */
  @Benchmark
  public void keyedRequest(Ledger state) {
    state.run(new IdempotencyKey("account", "key-" + state.next, "digest"));
  }

  /** The text of a configuration document. */
  @State(Scope.Thread)
  public static class Document {
    @Param({"34", "340"})
    int accounts;

    String text;

    /** Creates a document with six backend servers for each client account. */
    @Setup
    public void create() {
      List<AccountSpec> accountSpecs = new ArrayList<>();
      List<MemberSpec> members = new ArrayList<>();
      for (int i = 0; i < accounts; i++) {
        accountSpecs.add(new AccountSpec("a" + i, List.of(String.format("%064x", i)), "t", 10));
      }
      for (int i = 0; i < accounts * 6; i++) {
        members.add(new MemberSpec("agent-" + i, "fd-" + i % 24));
      }
      text =
          Json.write(
              new ConfigurationDocument(
                  List.of(new TierSpec("t", 1000, 2000)),
                  accountSpecs,
                  List.of(new PoolSpec("p", PoolSpec.Kind.MODEL, List.of("m"), members, true)),
                  List.of()));
      System.out.println("document of " + text.length() + " bytes");
    }
  }

  /** Parses and validates a configuration document. */
  @Benchmark
  public ConfigurationDocument parse(Document state) {
    return ConfigurationParser.parse(state.text);
  }

  /** Encodes and decodes the frame of one streamed token. */
  @Benchmark
  public Message frame() {
    Message.Chunk chunk =
        new Message.Chunk(
            RequestId.of("0199a1b2-c3d4-7000-8000-0123456789ab"), 1000, new byte[180]);
    return MessageDecoder.decode(MessageEncoder.encode(chunk));
  }
}
