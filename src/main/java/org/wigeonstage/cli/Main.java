package org.wigeonstage.cli;

import java.util.List;

/** Starts the subcommand that the first arguments name. */
public final class Main {

  /** Named as text, because loading the class before it is set installs the usual one. */
  private static final String LOG_MANAGER = "org.wigeonstage.telemetry.LastingLogManager";

  private Main() {}

  /**
   * Runs one subcommand and ends the process with its exit code.
   *
   * @param args the subcommand's name and its options
   */
  public static void main(String[] args) {
    System.setProperty("java.util.logging.manager", LOG_MANAGER);
    CommandOutput output = new CommandOutput(System.out, System.err);
    System.exit(new CommandRunner(commands(), output).run(args));
  }

  static List<Command> commands() {
    return List.of(
        new EntryCommand(),
        new AgentCommand(),
        new GatewayCommand(),
        new ConfigGetCommand(),
        new ConfigValidateCommand(),
        new ConfigApplyCommand(),
        new ConfigHistoryCommand(),
        new StatusCommand(),
        new DrainCommand(),
        new StandinPlatformCommand(),
        new StandinEngineCommand(),
        new StandinServiceCommand(),
        new LoadCompareCommand(),
        new LoadCommand(),
        new DemoCommand(),
        new BenchCommand(),
        new ExplainCommand(System.in),
        new RehearseCommand(),
        new VersionCommand());
  }
}
