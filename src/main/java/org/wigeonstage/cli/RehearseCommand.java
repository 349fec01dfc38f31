package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.telemetry.LogSetup;

/** Runs a gateway with stand-ins for a moment. */
final class RehearseCommand implements Command {

  @Override
  public String name() {
    return "rehearse";
  }

  @Override
  public String summary() {
    return "run a gateway with stand-ins for a moment, as the build does to record its classes";
  }

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException, InterruptedException {
    LogSetup.configureNonBlocking("rehearsal", "json");
    checkSettings(output);
    int served = Rehearsal.run();
    output.err().println("requests served: " + served);
    return served > 0 ? SUCCESS : FAILURE;
  }

  /** Takes the way of the gateway's command to its settings. */
  private static void checkSettings(CommandOutput output) throws IOException {
    Path file = Files.createTempFile("wigeonstage-rehearsal", ".json");
    try (SettingsWatch watch = SettingsWatch.start(file)) {
      watch.deliverTo(text -> {});
      Files.writeString(file, Rehearsal.settings("rehearsal", new Endpoint("127.0.0.1", 1)));
      String[] arguments = {"gateway", "--settings", file.toString(), "--check"};
      new CommandRunner(List.of(new GatewayCommand()), output).run(arguments);
    } finally {
      Files.delete(file);
    }
  }
}
