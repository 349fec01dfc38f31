package org.wigeonstage.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.PropertyDefaults;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import org.junit.jupiter.api.Test;

/**
 * Runs random histories of offer coordinators and ledgers and checks them with the {@link Oracle}.
 *
 * <p>The system property {@code wigeonstage.longFuzz} enables the long run, {@code
 * wigeonstage.fuzzSeed} restricts the run to one seed, and {@code wigeonstage.fuzzTrace} prints all
 * messages.
 */
@PropertyDefaults(shrinking = ShrinkingMode.BOUNDED)
class HistoryFuzzTest {

  private static final int STEPS = 120;
  private static final int SHORT_RUN_HISTORIES = 4000;
  private static final int LONG_RUN_HISTORIES = 200_000;
  private static final Long ONLY_SEED = Long.getLong("wigeonstage.fuzzSeed");

  @Provide
  Arbitrary<ActionChain<SimulatedCluster>> histories() {
    ActionChainArbitrary<SimulatedCluster> chains =
        ActionChain.startWith(() -> new SimulatedCluster(Mutation.NONE));
    for (HistorySteps.Step step : HistorySteps.ALL) {
      chains = chains.withAction(step.weight(), step);
    }
    return chains.withMaxTransformations(STEPS);
  }

  @Property(tries = 1000, seed = "20261204")
  void generatedHistoriesViolateNoGuarantee(
      @ForAll("histories") ActionChain<SimulatedCluster> history) {
    SimulatedCluster cluster = history.run();
    cluster.settle();
    assertThat(cluster.oracle.violations).isEmpty();
  }

  @Test
  void seededHistoriesViolateNoGuarantee() {
    int histories =
        Boolean.getBoolean("wigeonstage.longFuzz") ? LONG_RUN_HISTORIES : SHORT_RUN_HISTORIES;
    LongStream seeds =
        ONLY_SEED == null ? LongStream.rangeClosed(1, histories) : LongStream.of(ONLY_SEED);
    Queue<String> violations = new ConcurrentLinkedQueue<>();
    seeds
        .parallel()
        .forEach(
            seed -> {
              List<String> found = HistorySteps.run(seed, STEPS, Mutation.NONE);
              found.forEach(violation -> violations.add("seed " + seed + ": " + violation));
            });
    System.out.println(
        histories + " histories of " + STEPS + " steps, violations: " + violations.size());
    assertThat(violations).isEmpty();
  }
}
