package org.wigeonstage.cli;

import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.gateway.GatewayProcess;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.platform.PlatformAdapter;
import org.wigeonstage.settings.GatewaySettings;
import org.wigeonstage.settings.SettingsLoader;
import org.wigeonstage.telemetry.LogSetup;

/** Runs a gateway until it receives SIGTERM or SIGINT. */
final class GatewayCommand implements Command {

  @Override
  public String name() {
    return "gateway";
  }

  @Override
  public String summary() {
    return "run a gateway: an entry that reaches backend servers itself, on the users' platform";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.required("settings", "file", "the settings, in JSON"))
        .addOption(Arguments.flag("check", "check the settings and exit"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException, InterruptedException {
    Path file = Path.of(line.getOptionValue("settings"));
    if (line.hasOption("check")) {
      SettingsLoader.loadGateway(file);
      output.out().println("settings are valid");
      return SUCCESS;
    }
    try (SettingsWatch watch = SettingsWatch.start(file)) {
      return serve(watch);
    }
  }

  private static int serve(SettingsWatch watch) throws IOException, InterruptedException {
    GatewaySettings settings = SettingsLoader.parseGateway(watch.initialText());
    LogSetup.configureNonBlocking(settings.name(), settings.log());
    try (Closer closer = Closer.create()) {
      HttpClient client = closer.register(HttpClient.start("store", 1));
      PlatformAdapter adapter = new PlatformAdapter(client, Endpoint.parse(settings.store()));
      GatewayProcess process =
          closer.register(
              GatewayProcess.start(
                  settings, adapter.fleetStore(), adapter.rolloutStore(), adapter.headerCodec()));
      watch.deliverTo(text -> process.reload(SettingsLoader.parseGateway(text)));
      return ShutdownSignal.await(process::drain, closer);
    }
  }
}
