package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.common.Json;
import org.wigeonstage.load.Comparison;
import org.wigeonstage.load.LoadSummary;

/** Compares the figures in two result files. */
final class LoadCompareCommand implements Command {

  @Override
  public String name() {
    return "load compare";
  }

  @Override
  public String summary() {
    return "show the figures of two result files side by side";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Arguments.required("left", "file", "figures written by load or bench"))
        .addOption(Arguments.required("right", "file", "figures written by load or bench"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    output.out().print(Comparison.of(read(line, "left"), read(line, "right")));
    return SUCCESS;
  }

  private static List<LoadSummary> read(CommandLine line, String option) throws IOException {
    String text = Files.readString(Path.of(line.getOptionValue(option)));
    return Arrays.asList(Json.read(text, LoadSummary[].class));
  }
}
