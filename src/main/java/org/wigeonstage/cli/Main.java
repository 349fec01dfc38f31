package org.wigeonstage.cli;

import java.util.List;
import org.wigeonstage.telemetry.LastingLogManager;

/** Starts the subcommand that the first arguments name. */
public final class Main {

  private Main() {}

  /**
   * Runs one subcommand and ends the process with its exit code.
   *
   * @param args the subcommand's name and its options
   */
  public static void main(String[] args) {
    LastingLogManager.install();
    Console console = new Console(System.out, System.err);
    System.exit(new CommandRunner(commands(), console).run(args));
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
        new RehearseCommand(),
        new VersionCommand());
  }
}
