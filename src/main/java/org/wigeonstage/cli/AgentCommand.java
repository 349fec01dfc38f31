package org.wigeonstage.cli;

import java.nio.file.Path;
import java.time.InstantSource;
import org.wigeonstage.agent.AgentProcess;
import org.wigeonstage.settings.AgentSettings;
import org.wigeonstage.settings.SettingsLoader;
import org.wigeonstage.settings.TelemetrySettings;

/** Runs an agent until it receives SIGTERM or SIGINT. */
final class AgentCommand extends DaemonCommand<AgentSettings, AgentProcess> {

  @Override
  public String name() {
    return "agent";
  }

  @Override
  public String summary() {
    return "run an agent: the process beside a backend server";
  }

  @Override
  AgentSettings load(Path file) {
    return SettingsLoader.loadAgent(file);
  }

  @Override
  String processName(AgentSettings settings) {
    return settings.name();
  }

  @Override
  TelemetrySettings telemetry(AgentSettings settings) {
    return settings.telemetry();
  }

  @Override
  AgentProcess start(AgentSettings settings) {
    return AgentProcess.start(settings, InstantSource.system());
  }

  @Override
  boolean drain(AgentProcess process) throws InterruptedException {
    return process.drain();
  }
}
