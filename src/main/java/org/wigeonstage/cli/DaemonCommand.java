package org.wigeonstage.cli;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.settings.TelemetrySettings;
import org.wigeonstage.telemetry.LogSetup;

/**
 * A command that runs a process with a settings file until it receives SIGTERM or SIGINT.
 *
 * @param <S> the type of the settings
 * @param <P> the type of the process
 */
abstract class DaemonCommand<S, P extends Closeable> implements Command {

  @Override
  public final Options options() {
    return new Options()
        .addOption(Arguments.required("settings", "file", "the settings, in JSON"))
        .addOption(Arguments.flag("check", "check the settings and exit"));
  }

  @Override
  public final int run(CommandLine line, CommandOutput output)
      throws IOException, InterruptedException {
    S settings = load(Path.of(line.getOptionValue("settings")));
    if (line.hasOption("check")) {
      output.out().println("settings are valid");
      return SUCCESS;
    }
    LogSetup.configure(processName(settings), telemetry(settings).log());
    try (P process = start(settings)) {
      return ShutdownSignal.await(() -> drain(process), process);
    }
  }

  /** Reads and checks the settings. */
  abstract S load(Path file);

  /** Returns the name that the process has in logs. */
  abstract String processName(S settings);

  /** Returns the settings of logs and traces. */
  abstract TelemetrySettings telemetry(S settings);

  /** Starts the process. */
  abstract P start(S settings);

  /**
   * Drains the process: it accepts no new requests and finishes the others.
   *
   * @return whether all of them were finished in time
   */
  abstract boolean drain(P process) throws InterruptedException;
}
