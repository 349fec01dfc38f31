package org.wigeonstage.fuzz;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.Transformer;

/** The steps of random histories and their weights. */
final class HistorySteps {

  /** A named, weighted step that draws its random choices from its own seed. */
  record Step(int weight, String name, BiConsumer<SimulatedCluster, RandomGenerator> effect)
      implements Action.Independent<SimulatedCluster> {

    private static final int MAX_SEED = 1_000_000;

    @Override
    public Arbitrary<Transformer<SimulatedCluster>> transformer() {
      return Arbitraries.integers()
          .between(0, MAX_SEED)
          .map(
              seed ->
                  Transformer.mutate(
                      name + "(" + seed + ")",
                      cluster -> effect.accept(cluster, new SplittableRandom(seed))));
    }
  }

  static final List<Step> ALL =
      List.of(
          new Step(10, "submit", SimulatedCluster::submit),
          new Step(4, "retryKey", SimulatedCluster::retryKey),
          new Step(30, "deliver", SimulatedCluster::deliver),
          new Step(12, "backendProgress", SimulatedCluster::backendProgress),
          new Step(5, "advance", SimulatedCluster::advance),
          new Step(4, "reconnect", SimulatedCluster::reconnect),
          new Step(2, "closeLink", SimulatedCluster::closeLink),
          new Step(2, "discardLinkTraffic", SimulatedCluster::discardLinkTraffic),
          new Step(3, "detectClose", SimulatedCluster::detectClose),
          new Step(1, "restartAgent", SimulatedCluster::restartAgent),
          new Step(1, "restartEntry", SimulatedCluster::restartEntry),
          new Step(2, "pauseAgent", SimulatedCluster::pauseAgent),
          new Step(1, "leaveAgent", SimulatedCluster::leaveAgent),
          new Step(1, "changeMembers", SimulatedCluster::changeMembers),
          new Step(3, "applyConfiguration", SimulatedCluster::applyConfiguration),
          new Step(1, "disconnectCaller", SimulatedCluster::disconnectCaller));

  private static final int TOTAL_WEIGHT = ALL.stream().mapToInt(Step::weight).sum();

  private HistorySteps() {}

  /** Runs a history determined by the seed and returns the violations. */
  static List<String> run(long seed, int length, Mutation mutation) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedCluster cluster = new SimulatedCluster(mutation);
    for (int i = 0; i < length; i++) {
      draw(random).effect().accept(cluster, random);
    }
    cluster.settle();
    return cluster.oracle.violations;
  }

  private static Step draw(SplittableRandom random) {
    int remainingWeight = random.nextInt(TOTAL_WEIGHT);
    for (Step step : ALL) {
      remainingWeight -= step.weight();
      if (remainingWeight < 0) {
        return step;
      }
    }
    throw new IllegalStateException("weights do not add up");
  }
}
