package org.wigeonstage.cli;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.bench.Bench;
import org.wigeonstage.demo.DeploymentPlan;
import org.wigeonstage.telemetry.LogSetup;

/** Runs scenarios with faults and checks the results against the users' targets. */
final class BenchCommand implements Command {

  private static final int DEFAULT_SECONDS = 30;
  private static final List<String> PLANS = List.of("botiquin", "norrvik");

  @Override
  public String name() {
    return "bench";
  }

  @Override
  public String summary() {
    return "run scenarios with faults, and check the figures against the users' targets";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.optional("plan", "name", "botiquin or norrvik; default: both"))
        .addOption(Arguments.optional("scenario", "name", "the scenario to run; default: all"))
        .addOption(
            Arguments.optional("seconds", "n", "seconds of load in each scenario; default: 30"))
        .addOption(Arguments.optional("seed", "n", "the random seed; default: 1"))
        .addOption(Arguments.optional("json", "file", "where to write the figures"))
        .addOption(Arguments.optional("html", "file", "where to write a report with plots"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException, InterruptedException {
    LogSetup.configure("bench", "text");
    Logger.getLogger("").setLevel(Level.SEVERE);
    String plan = line.getOptionValue("plan");
    if (plan != null && !PLANS.contains(plan)) {
      throw new UsageException("--plan must be botiquin or norrvik, was '" + plan + "'");
    }
    Bench bench =
        new Bench(
            output.out(),
            Arguments.integer(line, "seconds", DEFAULT_SECONDS),
            Arguments.integer(line, "seed", 1));
    String scenario = Objects.requireNonNullElse(line.getOptionValue("scenario"), "all");
    for (String name : plan == null ? PLANS : List.of(plan)) {
      bench.run(DeploymentPlan.named(name), scenario);
    }
    ResultFiles.write(line, "wigeonstage bench", bench.summaries());
    return bench.report() == 0 ? SUCCESS : FAILURE;
  }
}
