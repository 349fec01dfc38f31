package org.wigeonstage.load;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonstage.request.Outcome;

/**
 * What the callers of an experiment observed.
 *
 * @param experiment the experiment
 * @param requests all requests
 * @param records the results of the requests that ended
 * @param open the number of requests that did not end within the time limit
 */
public record LoadResult(
    Experiment experiment, List<PlannedRequest> requests, List<RequestRecord> records, long open) {

  /** The block size of the engine stand-in's prefix cache. */
  private static final int BLOCK_TOKENS = 64;

  private static final int CHARACTERS_PER_TOKEN = 4;

  /**
   * Returns how many completed requests got an incomplete response or that of another request.
   *
   * @return the number, which must be 0
   */
  public long wrongResponses() {
    return records.stream()
        .filter(record -> record.outcome() == Outcome.COMPLETED && !record.responseCorrect())
        .count();
  }

  /**
   * Returns how many requests a plain service ran although their callers were told "not run".
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
   * Returns how many prompt tokens all engines together must process for the completed model
   * requests if each block of a prompt is processed only once.
   *
   * @return the number of tokens
   */
  public long necessaryPrefill() {
    Set<String> blocks = new HashSet<>();
    long tokens = 0;
    for (RequestRecord record : records) {
      PlannedRequest request = record.request();
      if (record.outcome() != Outcome.COMPLETED || !request.requestClass().model()) {
        continue;
      }
      tokens += countNewTokens(request.prompt(), blocks);
    }
    return tokens;
  }

  /**
   * Counts the tokens of a prompt that are not in the given blocks, and adds the prompt's blocks to
   * them. A block is represented by the text of the prompt from its start to the end of the block.
   */
  private static long countNewTokens(String prompt, Set<String> blocks) {
    int blockCharacters = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    long newTokens = prompt.length() % blockCharacters / CHARACTERS_PER_TOKEN;
    for (int end = blockCharacters; end <= prompt.length(); end += blockCharacters) {
      if (blocks.add(prompt.substring(0, end))) {
        newTokens += BLOCK_TOKENS;
      }
    }
    return newTokens;
  }
}
