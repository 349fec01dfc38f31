package org.wigeonstage.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Proves that the oracle catches deliberate faults. */
class MutationTest {

  private static final int STEPS = 120;
  private static final int MAX_HISTORIES = 20_000;

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void theOracleCatchesTheFault(Mutation mutation) {
    OptionalLong catching =
        LongStream.rangeClosed(1, MAX_HISTORIES)
            .filter(seed -> !Steps.run(seed, STEPS, mutation).isEmpty())
            .filter(seed -> Steps.run(seed, STEPS, Mutation.NONE).isEmpty())
            .findFirst();
    assertThat(catching).as("a seed whose history catches %s", mutation).isPresent();
    long seed = catching.getAsLong();
    System.out.println(
        mutation + " caught by seed " + seed + ": " + Steps.run(seed, STEPS, mutation).get(0));
  }
}
