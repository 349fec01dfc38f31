package org.wigeonstage.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that the oracle detects each {@link Mutation}. */
class MutationTest {

  private static final int STEPS = 120;
  private static final int MAX_HISTORIES = 20_000;

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void oracleDetectsMutation(Mutation mutation) {
    OptionalLong detectingSeed =
        LongStream.rangeClosed(1, MAX_HISTORIES)
            .filter(seed -> !HistorySteps.run(seed, STEPS, mutation).isEmpty())
            .filter(seed -> HistorySteps.run(seed, STEPS, Mutation.NONE).isEmpty())
            .findFirst();
    assertThat(detectingSeed)
        .as("a seed whose history violates a guarantee only with %s", mutation)
        .isPresent();
    long seed = detectingSeed.getAsLong();
    System.out.println(
        mutation
            + " detected by seed "
            + seed
            + ": "
            + HistorySteps.run(seed, STEPS, mutation).get(0));
  }
}
