package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.InstantSource;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.agent.AgentProcess;
import org.wigeonstage.settings.AgentSettings;
import org.wigeonstage.settings.SettingsLoader;
import org.wigeonstage.telemetry.LogSetup;

/** Runs an agent until it is signalled. */
final class AgentCommand implements Command {

  @Override
  public String name() {
    return "agent";
  }

  @Override
  public String summary() {
    return "run an agent: the process beside a backend server";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.required("settings", "file", "the settings, in JSON"))
        .addOption(Arguments.flag("check", "check the settings and exit"));
  }

  @Override
  public int run(CommandLine line, Console console) throws IOException, InterruptedException {
    AgentSettings settings = SettingsLoader.loadAgent(Path.of(line.getOptionValue("settings")));
    if (line.hasOption("check")) {
      console.out().println("settings are valid");
      return SUCCESS;
    }
    LogSetup.apply(settings.name(), settings.telemetry().log());
    try (AgentProcess agent = AgentProcess.start(settings, InstantSource.system())) {
      return ShutdownSignal.await(agent::drain);
    }
  }
}
