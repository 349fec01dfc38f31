package org.wigeonstage.load;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonstage.request.Outcome;

/**
 * What the callers of an experiment saw.
 *
 * @param experiment the experiment
 * @param requests all requests
 * @param records what became of those that ended
 * @param open the number of requests that did not end in time
 */
public record LoadResult(
    Experiment experiment, List<PlannedRequest> requests, List<RequestRecord> records, long open) {

  private static final int BLOCK_TOKENS = 64;
  private static final int CHARACTERS_PER_TOKEN = 4;

  /**
   * Returns the completed requests whose answer was not their own or not whole.
   *
   * @return the number, which must be 0
   */
  public long wrongResponses() {
    return records.stream()
        .filter(record -> record.outcome() == Outcome.COMPLETED && !record.responseCorrect())
        .count();
  }

  /**
   * Returns the requests whose callers were told "not run" although a plain service ran them.
   *
   * @param serviceRuns how often each body was run
   * @return the number, which must be 0
   */
  public long falseNotRuns(Map<String, Integer> serviceRuns) {
    return records.stream()
        .filter(record -> record.outcome() == Outcome.NOT_RUN)
        .filter(record -> serviceRuns.containsKey(record.request().prompt()))
        .count();
  }

  /**
   * Returns the least prompt tokens that must be processed when no block is processed twice.
   *
   * @return the number over all completed model requests
   */
  public long necessaryPrefill() {
    Set<String> blocks = new HashSet<>();
    long tokens = 0;
    for (RequestRecord record : records) {
      PlannedRequest request = record.request();
      if (record.outcome() != Outcome.COMPLETED || !request.requestClass().model()) {
        continue;
      }
      tokens += freshTokens(request.prompt(), blocks);
    }
    return tokens;
  }

  private static long freshTokens(String prompt, Set<String> blocks) {
    int blockCharacters = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    long fresh = prompt.length() % blockCharacters / CHARACTERS_PER_TOKEN;
    for (int end = blockCharacters; end <= prompt.length(); end += blockCharacters) {
      if (blocks.add(prompt.substring(0, end))) {
        fresh += BLOCK_TOKENS;
      }
    }
    return fresh;
  }
}
