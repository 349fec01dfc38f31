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

/**
 * Runs gateways with stand-ins briefly. The build records which classes this loads, so that
 * gateways start faster.
 */
final class RehearseCommand implements Command {

  @Override
  public String name() {
    return "rehearse";
  }

  @Override
  public String summary() {
    return "run gateways with stand-ins briefly; the build records which classes this loads";
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

  /**
   * Checks settings through the gateway command, so that the classes it uses are recorded as well.
   */
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
