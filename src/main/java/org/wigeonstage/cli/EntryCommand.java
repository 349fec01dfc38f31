package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.InstantSource;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.entry.EntryProcess;
import org.wigeonstage.settings.EntrySettings;
import org.wigeonstage.settings.SettingsLoader;
import org.wigeonstage.telemetry.LogSetup;

/** Runs an entry until it is signalled. */
final class EntryCommand implements Command {

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public String summary() {
    return "run an entry: the process that callers and operators talk to";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.required("settings", "file", "the settings, in JSON"))
        .addOption(Arguments.flag("check", "check the settings and exit"));
  }

  @Override
  public int run(CommandLine line, Console console) throws IOException, InterruptedException {
    EntrySettings settings = SettingsLoader.loadEntry(Path.of(line.getOptionValue("settings")));
    if (line.hasOption("check")) {
      console.out().println("settings are valid");
      return SUCCESS;
    }
    LogSetup.apply(settings.name(), settings.telemetry().log());
    try (EntryProcess entry = EntryProcess.start(settings, InstantSource.system())) {
      return ShutdownSignal.await(entry::drain);
    }
  }
}
