package org.wigeonstage.cli;

import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.standin.EngineSpeed;
import org.wigeonstage.standin.EngineStandin;
import org.wigeonstage.telemetry.LogSetup;

/** Runs a stand-in for a model engine until it is signalled. */
final class StandinEngineCommand implements Command {

  @Override
  public String name() {
    return "standin engine";
  }

  @Override
  public String summary() {
    return "run a stand-in for a model engine, for development";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.required("listen", "host:port", "where to listen"))
        .addOption(Arguments.optional("generation", "1-3", "the hardware generation; default: 2"))
        .addOption(Arguments.flag("ignore-fencing", "carry out orders with an old fencing number"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws InterruptedException {
    LogSetup.configure("standin engine", "auto");
    Endpoint listen = Endpoint.parse(line.getOptionValue("listen"));
    EngineSpeed speed = EngineSpeed.ofGeneration(Arguments.integer(line, "generation", 2));
    EngineStandin standin = EngineStandin.start(listen, speed, !line.hasOption("ignore-fencing"));
    output.out().println("listening on " + standin.endpoint());
    new CountDownLatch(1).await();
    return SUCCESS;
  }
}
