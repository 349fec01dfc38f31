package org.wigeonstage.cli;

import java.nio.file.Path;
import java.time.InstantSource;
import org.wigeonstage.entry.EntryProcess;
import org.wigeonstage.settings.EntrySettings;
import org.wigeonstage.settings.SettingsLoader;
import org.wigeonstage.settings.TelemetrySettings;

/** Runs an entry until it receives SIGTERM or SIGINT. */
final class EntryCommand extends DaemonCommand<EntrySettings, EntryProcess> {

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public String summary() {
    return "run an entry: the process that callers and operators talk to";
  }

  @Override
  EntrySettings load(Path file) {
    return SettingsLoader.loadEntry(file);
  }

  @Override
  String processName(EntrySettings settings) {
    return settings.name();
  }

  @Override
  TelemetrySettings telemetry(EntrySettings settings) {
    return settings.telemetry();
  }

  @Override
  EntryProcess start(EntrySettings settings) {
    return EntryProcess.start(settings, InstantSource.system());
  }

  @Override
  boolean drain(EntryProcess process) throws InterruptedException {
    return process.drain();
  }
}
