package org.wigeonstage.cli;

import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.demo.Demo;
import org.wigeonstage.demo.DeploymentOptions;
import org.wigeonstage.routing.RoutingPolicy;
import org.wigeonstage.telemetry.LogSetup;

/** Runs the example deployments under load. */
final class DemoCommand implements Command {

  private static final int DEFAULT_SECONDS = 10;

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "start both example deployments in this process and send them a mixed load";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(
            Arguments.optional("seconds", "n", "seconds of load for each deployment; default: 10"))
        .addOption(Arguments.optional("seed", "n", "the random seed; default: 1"))
        .addOption(
            Arguments.optional(
                "routing", "policy", "the entries' routing policy; default: prefix-affinity"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException, InterruptedException {
    LogSetup.configure("demo", "text");
    Logger.getLogger("").setLevel(Level.WARNING);
    DeploymentOptions options = DeploymentOptions.DEFAULTS;
    String routing = line.getOptionValue("routing");
    if (routing != null) {
      options = options.withRouting(policyOf(routing));
    }
    Demo demo =
        new Demo(
            output.out(),
            Arguments.integer(line, "seconds", DEFAULT_SECONDS),
            Arguments.integer(line, "seed", 1),
            options);
    return demo.run() == 0 ? SUCCESS : FAILURE;
  }

  static RoutingPolicy policyOf(String text) {
    try {
      return RoutingPolicy.of(text);
    } catch (IllegalArgumentException e) {
      throw new UsageException(
          "--routing must be the name of a routing policy, was '" + text + "'");
    }
  }
}
