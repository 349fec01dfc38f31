package org.wigeonstage.cli;

import java.util.List;

/** Starts the subcommand that is named by the first arguments. */
public final class Main {

  /**
   * A string rather than a class reference: loading the class before the property is set would
   * install the default log manager.
   */
  private static final String LOG_MANAGER = "org.wigeonstage.telemetry.ShutdownSafeLogManager";

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

  /**
   * Returns all commands. Of several commands whose names begin the arguments, the first is run;
   * {@code load compare} must therefore stand before {@code load}.
   */
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
