package org.wigeonstage.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.WigeonstageException;

/** Finds the subcommand that the arguments name, and runs it. */
final class CommandRunner {

  private static final String PROGRAM = "wigeonstage";
  private static final int HELP_WIDTH = 100;

  private final List<Command> commands;
  private final CommandOutput output;

  CommandRunner(List<Command> commands, CommandOutput output) {
    this.commands = commands;
    this.output = output;
  }

  int run(String[] args) {
    if (args.length == 0 || isHelp(args[0])) {
      printOverview();
      return args.length == 0 ? Command.USAGE : Command.SUCCESS;
    }
    Optional<Command> command = find(args);
    if (command.isEmpty() && isGroup(args[0])) {
      return runGroup(args);
    }
    // "load" is a group and a command: its help lists the group's commands and its own options.
    if (args.length == 2 && isGroup(args[0]) && isHelp(args[1])) {
      printGroup(args[0]);
    }
    if (command.isEmpty()) {
      return usageError("unknown command '" + String.join(" ", args) + "'; see --help");
    }
    return run(command.get(), argumentsAfterName(command.get(), args));
  }

  private static boolean isHelp(String argument) {
    return argument.equals("--help") || argument.equals("help");
  }

  private boolean isGroup(String argument) {
    return commands.stream().anyMatch(command -> command.name().startsWith(argument + " "));
  }

  /** Handles a first argument that names a group of commands, such as {@code config}. */
  private int runGroup(String[] args) {
    boolean isHelp = args.length == 2 && isHelp(args[1]);
    if (!isHelp) {
      return usageError(
          "unknown command '" + String.join(" ", args) + "'; see " + args[0] + " --help");
    }
    printGroup(args[0]);
    return Command.SUCCESS;
  }

  private void printGroup(String argument) {
    output.out().println("usage: " + PROGRAM + " " + argument + " <command> [options]");
    output.out().println();
    commands.stream()
        .filter(command -> command.name().startsWith(argument + " "))
        .forEach(this::printSummary);
    output.out().println();
  }

  private void printSummary(Command command) {
    output.out().printf("  %-18s %s%n", command.name(), command.summary());
  }

  private Optional<Command> find(String[] args) {
    String commandLine = String.join(" ", args) + " ";
    return commands.stream()
        .filter(command -> commandLine.startsWith(command.name() + " "))
        .findFirst();
  }

  private static String[] argumentsAfterName(Command command, String[] args) {
    int words = command.name().split(" ", -1).length;
    return Arrays.copyOfRange(args, words, args.length);
  }

  private int run(Command command, String[] args) {
    if (Arrays.asList(args).contains("--help")) {
      printHelp(command);
      return Command.SUCCESS;
    }
    try {
      CommandLine line = new DefaultParser().parse(command.options(), args);
      if (!line.getArgList().isEmpty()) {
        return usageError("unexpected argument '" + line.getArgList().get(0) + "'");
      }
      return command.run(line, output);
    } catch (ParseException | UsageException e) {
      return usageError(command.name() + ": " + e.getMessage());
    } catch (WigeonstageException e) {
      return failure(e.code().text(), e.getMessage());
    } catch (IOException e) {
      return failure("io", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return failure("interrupted", "interrupted");
    }
  }

  private int usageError(String message) {
    output.err().println(PROGRAM + ": " + message);
    return Command.USAGE;
  }

  private int failure(String code, @Nullable String message) {
    output.err().println(PROGRAM + ": [" + code + "] " + message);
    return Command.FAILURE;
  }

  private void printOverview() {
    output.out().println("usage: " + PROGRAM + " <command> [options]");
    output.out().println();
    commands.forEach(this::printSummary);
    output.out().println();
    output.out().println(PROGRAM + " <command> --help shows a command's options.");
  }

  private void printHelp(Command command) {
    Options options = command.options();
    options.addOption(Arguments.flag("help", "show this help"));
    PrintWriter writer = new PrintWriter(output.out(), true, StandardCharsets.UTF_8);
    new HelpFormatter()
        .printHelp(
            writer,
            HELP_WIDTH,
            PROGRAM + " " + command.name(),
            command.summary(),
            options,
            2,
            2,
            null,
            true);
    writer.flush();
  }
}
