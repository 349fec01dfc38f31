package org.wigeonstage.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.HttpCall;

/**
 * Calls the operators' API of an entry or agent, with the operator key in the environment variable
 * {@value #KEY_VARIABLE}, if set.
 */
final class OperatorClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final String KEY_VARIABLE = "WIGEONSTAGE_OPERATOR_KEY";

  private final Endpoint target;

  private OperatorClient(Endpoint target) {
    this.target = target;
  }

  /** Returns the options that name the process to call. */
  static Options options() {
    return new Options()
        .addOption(
            Arguments.required(
                "operators",
                "host:port",
                "the operators' address of an entry or agent; the operator's key is taken from "
                    + KEY_VARIABLE));
  }

  static OperatorClient of(CommandLine line) {
    String address = line.getOptionValue("operators");
    try {
      return new OperatorClient(Endpoint.parse(address));
    } catch (IllegalArgumentException e) {
      throw new UsageException("--operators must be host:port, was '" + address + "'");
    }
  }

  HttpResponse call(HttpCall call, Map<String, String> fields) throws IOException {
    Map<String, String> all = new HashMap<>(fields);
    String key = System.getenv(KEY_VARIABLE);
    if (key != null) {
      all.put("Authorization", "Bearer " + key);
    }
    try (HttpClient client = HttpClient.start("operator", 1)) {
      return BlockingCall.execute(client, target, call, all, TIMEOUT);
    }
  }

  /** Makes a call without a body and prints the response; returns the exit code. */
  int print(CommandOutput output, String method, String path) throws IOException {
    HttpResponse response = call(new HttpCall(method, path, null, new byte[0]), Map.of());
    return print(output, response);
  }

  /** Prints a response, on the error stream if it is an error; returns the exit code. */
  static int print(CommandOutput output, HttpResponse response) {
    boolean success = response.status() < 300;
    (success ? output.out() : output.err()).println(response.text());
    return success ? Command.SUCCESS : Command.FAILURE;
  }
}
