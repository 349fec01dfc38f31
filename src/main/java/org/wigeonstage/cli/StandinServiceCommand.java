package org.wigeonstage.cli;

import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.standin.ServiceStandin;
import org.wigeonstage.telemetry.LogSetup;

/** Runs a stand-in for a plain service until it is signalled. */
final class StandinServiceCommand implements Command {

  @Override
  public String name() {
    return "standin service";
  }

  @Override
  public String summary() {
    return "run a stand-in for a plain service, for development";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.required("listen", "host:port", "where to listen"))
        .addOption(Arguments.optional("delay", "ms", "how long each request takes; default: 5"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws InterruptedException {
    LogSetup.configure("standin service", "auto");
    Endpoint listen = Endpoint.parse(line.getOptionValue("listen"));
    ServiceStandin standin =
        ServiceStandin.start("service", listen, Arguments.integer(line, "delay", 5));
    output.out().println("listening on " + standin.endpoint());
    new CountDownLatch(1).await();
    return SUCCESS;
  }
}
