package org.wigeonstage.fuzz;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.Transformer;

/** The steps of histories and how often they are drawn. */
final class Steps {

  /** A named step of the world, driven by a seed of its own. */
  record Step(int weight, String name, BiConsumer<World, RandomGenerator> effect)
      implements Action.Independent<World> {

    private static final int MAX_SEED = 1_000_000;

    @Override
    public Arbitrary<Transformer<World>> transformer() {
      return Arbitraries.integers()
          .between(0, MAX_SEED)
          .map(
              seed ->
                  Transformer.mutate(
                      name + "(" + seed + ")",
                      world -> effect.accept(world, new SplittableRandom(seed))));
    }
  }

  static final List<Step> ALL =
      List.of(
          new Step(10, "submit", World::submit),
          new Step(4, "retryKey", World::retryKey),
          new Step(30, "deliver", World::deliver),
          new Step(12, "backendProgress", World::backendProgress),
          new Step(5, "advance", World::advance),
          new Step(4, "reconnect", World::reconnect),
          new Step(2, "closeLink", World::closeLink),
          new Step(2, "silenceLink", World::silenceLink),
          new Step(3, "noticeClose", World::noticeClose),
          new Step(1, "restartAgent", World::restartAgent),
          new Step(1, "restartEntry", World::restartEntry),
          new Step(2, "pauseAgent", World::pauseAgent),
          new Step(1, "leaveAgent", World::leaveAgent),
          new Step(1, "changeMembers", World::changeMembers),
          new Step(3, "adopt", World::adopt),
          new Step(1, "callerGoes", World::callerGoes));

  private static final int TOTAL_WEIGHT = ALL.stream().mapToInt(Step::weight).sum();

  private Steps() {}

  /** Runs a whole history that depends on the seed alone; returns the violations. */
  static List<String> run(long seed, int length, Mutation mutation) {
    SplittableRandom random = new SplittableRandom(seed);
    World world = new World(mutation);
    for (int i = 0; i < length; i++) {
      draw(random).effect().accept(world, random);
    }
    world.settle();
    return world.oracle.violations;
  }

  private static Step draw(SplittableRandom random) {
    int left = random.nextInt(TOTAL_WEIGHT);
    for (Step step : ALL) {
      left -= step.weight();
      if (left < 0) {
        return step;
      }
    }
    throw new IllegalStateException("weights do not add up");
  }
}
