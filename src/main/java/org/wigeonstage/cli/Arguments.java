package org.wigeonstage.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Creates command-line options and parses their values. */
final class Arguments {

  private Arguments() {}

  static Option required(String name, String value, String description) {
    return Option.builder()
        .longOpt(name)
        .hasArg()
        .argName(value)
        .desc(description)
        .required()
        .get();
  }

  static Option optional(String name, String value, String description) {
    return Option.builder().longOpt(name).hasArg().argName(value).desc(description).get();
  }

  static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  static int integer(CommandLine line, String name, int defaultValue) {
    String text = line.getOptionValue(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw new UsageException("--" + name + " must be a whole number, was '" + text + "'");
    }
  }
}
