package org.wigeonstage.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates the requests of an experiment from its random seed: Poisson arrivals, random lengths
 * and shared prompt prefixes. The lengths of responses and of prompts without their prefixes are
 * uniformly distributed from 0.5 to 1.5 times the mean.
 */
final class ArrivalPlanner {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final double MIN_LENGTH_FACTOR = 0.5;
  private static final double LENGTH_FACTOR_RANGE = 1.0;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Experiment experiment;
  private final SplittableRandom random;
  private int lastSerial;

  ArrivalPlanner(Experiment experiment) {
    this.experiment = experiment;
    this.random = new SplittableRandom(experiment.seed());
  }

  /** Returns the requests in the order in which they are due. */
  List<PlannedRequest> plan() {
    List<PlannedRequest> requests = new ArrayList<>();
    for (RequestClass requestClass : experiment.classes()) {
      planClass(requestClass, random.split(), requests);
    }
    requests.sort(Comparator.comparing(PlannedRequest::sendOffset));
    return requests;
  }

  private void planClass(
      RequestClass requestClass, SplittableRandom classRandom, List<PlannedRequest> requests) {
    if (requestClass.ratePerSecond() == 0) {
      return;
    }
    double second = 0;
    while (true) {
      double rate = requestClass.ratePerSecond() * experiment.factorAt(second, requestClass.tier());
      second -= Math.log(1 - classRandom.nextDouble()) / rate;
      if (second >= experiment.seconds()) {
        return;
      }
      requests.add(planRequest(requestClass, second, classRandom));
    }
  }

  /**
   * Creates a request. Its prompt is a prefix shared with other requests of the class, a unique
   * nonce and text of its own.
   */
  private PlannedRequest planRequest(
      RequestClass requestClass, double second, SplittableRandom classRandom) {
    lastSerial++;
    String nonce = experiment.name() + "-" + experiment.seed() + "-" + lastSerial;
    int prefix = requestClass.prefixes() == 0 ? 0 : classRandom.nextInt(requestClass.prefixes());
    String shared = text(requestClass.name() + " " + prefix + " ", requestClass.prefixTokens());
    String own = text(nonce + " ", drawLength(requestClass.promptTokens(), classRandom));
    return new PlannedRequest(
        requestClass,
        Duration.ofNanos((long) (second * NANOS_PER_SECOND)),
        shared + nonce + " " + own,
        drawLength(requestClass.outputTokens(), classRandom));
  }

  private static int drawLength(int mean, SplittableRandom classRandom) {
    double factor = MIN_LENGTH_FACTOR + LENGTH_FACTOR_RANGE * classRandom.nextDouble();
    return Math.max(1, (int) Math.round(mean * factor));
  }

  private static String text(String word, int tokens) {
    int length = tokens * CHARACTERS_PER_TOKEN;
    return length == 0 ? "" : word.repeat(length / word.length() + 1).substring(0, length);
  }
}
