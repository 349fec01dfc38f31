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
 * Fuzzes histories of the decision core against the {@link Oracle}.
 *
 * <p>The system property {@code wigeonstage.longFuzz} makes the run long; {@code
 * wigeonstage.fuzzSeed} names the only seed to run, and {@code wigeonstage.fuzzTrace} prints its
 * messages.
 */
@PropertyDefaults(shrinking = ShrinkingMode.BOUNDED)
class HistoryFuzzTest {

  private static final int STEPS = 120;
  private static final int SHORT_RUN = 4000;
  private static final int LONG_RUN = 200_000;
  private static final Long ONLY_SEED = Long.getLong("wigeonstage.fuzzSeed");

  @Provide
  Arbitrary<ActionChain<World>> histories() {
    ActionChainArbitrary<World> chains = ActionChain.startWith(() -> new World(Mutation.NONE));
    for (Steps.Step step : Steps.ALL) {
      chains = chains.withAction(step.weight(), step);
    }
    return chains.withMaxTransformations(STEPS);
  }

  @Property(tries = 1000, seed = "20261204")
  void everyDrawnHistoryKeepsEveryPromise(@ForAll("histories") ActionChain<World> history) {
    World world = history.run();
    world.settle();
    assertThat(world.oracle.violations).isEmpty();
  }

  @Test
  void everySeededHistoryKeepsEveryPromise() {
    int histories = Boolean.getBoolean("wigeonstage.longFuzz") ? LONG_RUN : SHORT_RUN;
    LongStream seeds =
        ONLY_SEED == null ? LongStream.rangeClosed(1, histories) : LongStream.of(ONLY_SEED);
    Queue<String> violations = new ConcurrentLinkedQueue<>();
    seeds
        .parallel()
        .forEach(
            seed -> {
              List<String> found = Steps.run(seed, STEPS, Mutation.NONE);
              found.forEach(violation -> violations.add("seed " + seed + ": " + violation));
            });
    System.out.println(
        histories + " histories of " + STEPS + " steps, violations: " + violations.size());
    assertThat(violations).isEmpty();
  }
}
