package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.load.Experiment;
import org.wigeonstage.load.LoadGenerator;
import org.wigeonstage.load.LoadResult;
import org.wigeonstage.load.LoadTable;
import org.wigeonstage.load.Summarizer;

/** Sends the load of an experiment file to running entries. */
final class LoadCommand implements Command {

  private static final int CLIENT_THREADS = 2;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "send an open-loop load to running entries and report what the callers saw";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.required("experiment", "file", "the experiment, in JSON"))
        .addOption(
            Arguments.required("entries", "host:port,...", "where callers reach the entries"))
        .addOption(Arguments.optional("json", "file", "where to write the figures"))
        .addOption(Arguments.optional("html", "file", "where to write a report with plots"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException, InterruptedException {
    String text = Files.readString(Path.of(line.getOptionValue("experiment")));
    Experiment experiment = Json.read(text, Experiment.class);
    List<Endpoint> entries =
        Arrays.stream(line.getOptionValue("entries").split(",", -1)).map(Endpoint::parse).toList();
    try (HttpClient client = HttpClient.start("load", CLIENT_THREADS)) {
      LoadGenerator generator =
          new LoadGenerator(
              client, MonotonicClock.system(), InstantSource.system(), output.err()::println);
      LoadResult result = generator.run(experiment, entries);
      output.out().print(LoadTable.of(result));
      output.out().println("wrong answers: " + result.wrongResponses());
      ResultFiles.write(line, experiment.name(), List.of(Summarizer.summarizeCallers(result)));
      return result.wrongResponses() == 0 ? SUCCESS : FAILURE;
    }
  }
}
