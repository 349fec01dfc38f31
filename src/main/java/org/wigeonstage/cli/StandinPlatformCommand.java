package org.wigeonstage.cli;

import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.standin.PlatformStandin;
import org.wigeonstage.telemetry.LogSetup;

/** Runs a stand-in for the platform's object API until it is signalled. */
final class StandinPlatformCommand implements Command {

  @Override
  public String name() {
    return "standin platform";
  }

  @Override
  public String summary() {
    return "run a stand-in for the platform's object API, for development";
  }

  @Override
  public Options options() {
    return new Options().addOption(Arguments.required("listen", "host:port", "where to listen"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws InterruptedException {
    LogSetup.configure("standin platform", "auto");
    Endpoint listen = Endpoint.parse(line.getOptionValue("listen"));
    PlatformStandin standin = PlatformStandin.start(listen);
    output.out().println("listening on " + standin.endpoint());
    new CountDownLatch(1).await();
    return SUCCESS;
  }
}
