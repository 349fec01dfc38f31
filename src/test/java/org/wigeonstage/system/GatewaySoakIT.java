package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.MoreFiles;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeonstage.system.SoakOracle.Violation;

/**
 * Runs gateways as processes under load, with random signals, configuration changes and faults.
 *
 * <p>The system properties {@code soak.firstSeed} and {@code soak.seeds} set the first seed and the
 * number of seeds. Reports and gateway logs are written to {@code target/soak}.
 */
class GatewaySoakIT {

  private static final long FIRST_SEED = Long.getLong("soak.firstSeed", 1);
  private static final int SEEDS = Integer.getInteger("soak.seeds", 2);

  /** A rejected request of a caller; others probe whether a gateway has started. */
  private static final String REJECTED_CALL = "\"event\":\"rejected\",\"request\":\"caller-";

  /** Why requests are rejected in planned maintenance without restores, too. */
  private static final List<String> CODES_WITHOUT_RESTORES =
      List.of("\"code\":\"leaving\"", "\"code\":\"account-limit\"");

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void losesNoRequestDuringPlannedMaintenance(long seed) throws Exception {
    run(SoakPlan.plannedMaintenance(seed));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  @Tag("known-red")
  void losesNoRequestDuringPlannedMaintenanceOnSlowHosts(long seed) throws Exception {
    run(SoakPlan.onSlowHosts(seed));
  }

  /** Guards against requests that are refused because the store was restored. */
  @ParameterizedTest
  @MethodSource("seeds")
  void losesNoRequestWhileTheStoreIsRestored(long seed) throws Exception {
    SoakPlan plan = SoakPlan.withRestores(seed);
    run(plan);
    List<String> refused = new ArrayList<>();
    try (Stream<Path> files = Files.list(directory(plan))) {
      for (Path log : files.filter(file -> file.toString().endsWith(".log")).toList()) {
        Files.readAllLines(log).stream()
            .filter(line -> line.contains(REJECTED_CALL))
            .filter(line -> CODES_WITHOUT_RESTORES.stream().noneMatch(line::contains))
            .forEach(refused::add);
      }
    }
    assertThat(refused).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void returnsOnlyValidResponsesDuringFaults(long seed) throws Exception {
    run(SoakPlan.withFaults(seed));
  }

  private static Path directory(SoakPlan plan) {
    return Path.of("target", "soak", plan.kind() + "-" + plan.seed());
  }

  private static void run(SoakPlan plan) throws Exception {
    Path directory = directory(plan);
    if (Files.exists(directory)) {
      MoreFiles.deleteRecursively(directory);
    }
    try (SoakRun soak = new SoakRun(plan, directory)) {
      List<Violation> violations = soak.run();
      assertThat(violations).as("%s%nlogs in %s", plan, directory).isEmpty();
    }
  }
}
