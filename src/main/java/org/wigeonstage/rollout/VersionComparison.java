package org.wigeonstage.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Compares the responses of the target version with those of the other versions in the same time.
 *
 * <p>For each route, three kinds of bad responses are compared: failures, late first parts and late
 * ends. Late is what takes at least twice the other versions' median. A share of bad responses is
 * higher only if its Wilson interval lies above that of the other versions. The worse half of the
 * target's servers is then left out, and the others must still be worse, because a fault of some
 * servers, such as a crash, says nothing about the version.
 */
final class VersionComparison {

  /** The number of standard errors; the comparison is repeated about a thousand times. */
  private static final double CONFIDENCE = 3;

  /** The same for times, which count only if they stay worse. */
  private static final double CONFIDENCE_FOR_TIMES = 2.5;

  /** The same without the worst servers, where fewer responses are left. */
  private static final double CONFIDENCE_WITHOUT_WORST = 1.5;

  private static final int MIN_BAD = 4;
  private static final int MIN_BAD_WITHOUT_WORST = 2;

  /**
   * The worse half of the servers is left out. Where a quarter of all servers crashes at once, two
   * of three exposed ones are among them in a sixth of the cases.
   */
  private static final int LEFT_OUT_DIVISOR = 2;

  /** Differences below this are not worth a rollback. */
  private static final double MIN_EXCESS = 0.02;

  /** The same for times, which depend on the load and the size of requests. */
  private static final double MIN_SLOW_EXCESS = 0.08;

  /** Three buckets are a factor of 2 to 2.8. */
  private static final int SLOW_BUCKETS = 3;

  private static final int MIN_OTHERS_FOR_TIMES = 20;

  /** Without this many responses of other versions, more than half of all must be failures. */
  private static final int MIN_OTHERS_FOR_FAILURES = 5;

  private static final double MAX_FAILURES_ALONE = 0.5;
  private static final int SUFFICIENT_RESPONSES = 20;
  private static final int SUFFICIENT_PER_ROUTE = 8;

  /** Routes with fewer responses of other versions than this are not waited for. */
  private static final int MIN_OTHERS_OF_ROUTE = 50;

  private final Map<String, ResponseCounts> othersByRoute = new HashMap<>();
  private final Map<String, Map<String, ResponseCounts>> targetByRoute = new HashMap<>();

  VersionComparison(Collection<ResponseCounts> allCounts) {
    for (ResponseCounts counts : allCounts) {
      if (counts.isOfTarget()) {
        targetByRoute
            .computeIfAbsent(counts.route(), key -> new HashMap<>())
            .merge(counts.serverId(), counts, ResponseCounts::plus);
      } else {
        othersByRoute.merge(counts.route(), counts, ResponseCounts::plus);
      }
    }
  }

  /** The bad responses of a server. */
  private record Sample(String serverId, int bad, int total) {

    static final Sample NONE = new Sample("", 0, 0);

    Sample plus(Sample other) {
      return new Sample(serverId, bad + other.bad, total + other.total);
    }

    double share() {
      return total == 0 ? 0 : (double) bad / total;
    }

    /** Returns the lower or upper bound of the Wilson score interval. */
    double bound(double deviations, int sign) {
      if (total == 0) {
        return sign < 0 ? 0 : 1;
      }
      double squared = deviations * deviations;
      double share = share();
      double root = Math.sqrt(share * (1 - share) / total + squared / (4.0 * total * total));
      return (share + squared / (2.0 * total) + sign * deviations * root) / (1 + squared / total);
    }
  }

  /** Returns the number of responses of the target version. */
  int responses() {
    return sumOfTarget(ResponseCounts::responses);
  }

  /** Returns the number of failures of the target version. */
  int failures() {
    return sumOfTarget(ResponseCounts::failures);
  }

  private int sumOfTarget(ToIntFunction<ResponseCounts> value) {
    return targetByRoute.values().stream()
        .flatMap(servers -> servers.values().stream())
        .mapToInt(value)
        .sum();
  }

  /** Returns whether each route has enough responses to trust the target version. */
  boolean isSufficient() {
    return responses() >= SUFFICIENT_RESPONSES
        && othersByRoute.values().stream()
            .filter(others -> others.responses() >= MIN_OTHERS_OF_ROUTE)
            .allMatch(others -> responsesOfTarget(others.route()) >= SUFFICIENT_PER_ROUTE);
  }

  private int responsesOfTarget(String route) {
    return targetByRoute.getOrDefault(route, Map.of()).values().stream()
        .mapToInt(ResponseCounts::responses)
        .sum();
  }

  /**
   * Returns which responses of the target version fail more often, or empty if none do.
   *
   * @param serverCount the number of servers of the target version
   */
  String failure(int serverCount) {
    List<Sample> allFailures = new ArrayList<>();
    for (Map.Entry<String, Map<String, ResponseCounts>> entry : targetByRoute.entrySet()) {
      Collection<ResponseCounts> target = entry.getValue().values();
      ResponseCounts others = othersByRoute.get(entry.getKey());
      List<Sample> failures = samplesOf(target, ResponseCounts::failures);
      allFailures.addAll(failures);
      if (isWorse(failures, failuresOf(others), MIN_EXCESS, CONFIDENCE, serverCount)) {
        return "failures of " + entry.getKey();
      }
    }
    Sample others =
        othersByRoute.values().stream()
            .map(VersionComparison::failuresOf)
            .reduce(Sample.NONE, Sample::plus);
    return isWorse(sumByServer(allFailures), others, MIN_EXCESS, CONFIDENCE, serverCount)
        ? "failures"
        : "";
  }

  /**
   * Returns which responses of the target version take longer, or empty if none do. To be called
   * only while other versions have the same load.
   *
   * @param serverCount the number of servers of the target version
   */
  String slowness(int serverCount) {
    for (Times times : Times.values()) {
      Sample allOthers = Sample.NONE;
      List<Sample> allTargets = new ArrayList<>();
      for (Map.Entry<String, Map<String, ResponseCounts>> entry : targetByRoute.entrySet()) {
        ResponseCounts others = othersByRoute.get(entry.getKey());
        if (others == null || times.of(others).total() < MIN_OTHERS_FOR_TIMES) {
          continue;
        }
        List<Sample> samples =
            entry.getValue().values().stream()
                .map(counts -> slowSample(counts, others, times))
                .toList();
        Sample slowOthers = slowSample(others, others, times);
        if (isSlower(samples, slowOthers, serverCount)) {
          return times.name().toLowerCase(Locale.ROOT) + " of " + entry.getKey();
        }
        allTargets.addAll(samples);
        allOthers = allOthers.plus(slowOthers);
      }
      if (isSlower(sumByServer(allTargets), allOthers, serverCount)) {
        return times.name().toLowerCase(Locale.ROOT);
      }
    }
    return "";
  }

  private static Sample slowSample(ResponseCounts counts, ResponseCounts others, Times times) {
    return new Sample(
        counts.serverId(), countSlow(counts, others, times), times.of(counts).total());
  }

  private static boolean isSlower(List<Sample> servers, Sample others, int serverCount) {
    return isWorse(servers, others, MIN_SLOW_EXCESS, CONFIDENCE_FOR_TIMES, serverCount);
  }

  private static List<Sample> sumByServer(List<Sample> samples) {
    Map<String, Sample> byServer = new HashMap<>();
    samples.forEach(sample -> byServer.merge(sample.serverId(), sample, Sample::plus));
    return List.copyOf(byServer.values());
  }

  /** Returns how many responses of the target version are late. */
  int countSlow() {
    int count = 0;
    for (Map.Entry<String, Map<String, ResponseCounts>> entry : targetByRoute.entrySet()) {
      ResponseCounts others = othersByRoute.get(entry.getKey());
      if (others != null && others.durations().total() >= MIN_OTHERS_FOR_TIMES) {
        for (ResponseCounts counts : entry.getValue().values()) {
          count +=
              Math.max(
                  countSlow(counts, others, Times.FIRST_PARTS),
                  countSlow(counts, others, Times.DURATIONS));
        }
      }
    }
    return count;
  }

  private static int countSlow(ResponseCounts counts, ResponseCounts others, Times times) {
    return times.of(counts).countFrom(times.of(others).medianBucket() + SLOW_BUCKETS);
  }

  private enum Times {
    FIRST_PARTS,
    DURATIONS;

    TimeHistogram of(ResponseCounts counts) {
      return this == FIRST_PARTS ? counts.firstParts() : counts.durations();
    }
  }

  private static Sample failuresOf(@Nullable ResponseCounts counts) {
    return counts == null
        ? Sample.NONE
        : new Sample(counts.serverId(), counts.failures(), counts.responses());
  }

  private static List<Sample> samplesOf(
      Collection<ResponseCounts> servers, ToIntFunction<ResponseCounts> bad) {
    return servers.stream()
        .map(counts -> new Sample(counts.serverId(), bad.applyAsInt(counts), counts.responses()))
        .toList();
  }

  private static boolean isWorse(
      List<Sample> servers, Sample others, double minExcess, double confidence, int serverCount) {
    Sample all = sum(servers);
    if (!isWorse(all, others, MIN_BAD, minExcess, confidence)) {
      return false;
    }
    if (serverCount <= 1) {
      return true;
    }
    int leftOut = (servers.size() + LEFT_OUT_DIVISOR - 1) / LEFT_OUT_DIVISOR;
    List<Sample> rest =
        servers.stream()
            .sorted(Comparator.comparingInt(Sample::bad).reversed())
            .skip(leftOut)
            .toList();
    return isWorse(sum(rest), others, MIN_BAD_WITHOUT_WORST, minExcess, CONFIDENCE_WITHOUT_WORST);
  }

  private static Sample sum(List<Sample> samples) {
    return samples.stream().reduce(Sample.NONE, Sample::plus);
  }

  private static boolean isWorse(
      Sample sample, Sample others, int minBad, double minExcess, double confidence) {
    double usual =
        others.total() < MIN_OTHERS_FOR_FAILURES ? MAX_FAILURES_ALONE : others.bound(confidence, 1);
    return sample.bad() >= minBad
        && sample.share() >= others.share() + minExcess
        && sample.bound(confidence, -1) > usual;
  }
}
