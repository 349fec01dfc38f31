package org.wigeonstage.admission;

import com.fasterxml.jackson.databind.JsonNode;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.routing.RendezvousHash;

/** Estimates the cost of a model request. */
final class CostFilter implements AdmissionFilter {

  /** The assumed average length of a token. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  /** Prompts with the same leading text of this length count as sharing a prefix. */
  private static final int PREFIX_CHARACTERS = 512;

  private final OutputLengthEstimator estimator;

  CostFilter(OutputLengthEstimator estimator) {
    this.estimator = estimator;
  }

  @Override
  public void apply(AdmissionContext context) {
    JsonNode body = context.modelBody();
    if (body == null) {
      return;
    }
    String prompt = extractPrompt(body);
    int maxTokens = body.path("max_tokens").asInt(Integer.MAX_VALUE);
    int expected = estimator.estimate(context.requestGroup());
    context.cost(
        new RequestCost(
            prompt.length() / CHARACTERS_PER_TOKEN,
            Math.max(0, Math.min(maxTokens, expected)),
            hashPrefix(prompt)));
  }

  private static String extractPrompt(JsonNode body) {
    StringBuilder prompt = new StringBuilder(body.path("prompt").asText(""));
    for (JsonNode message : body.path("messages")) {
      prompt.append(message.path("content").asText(""));
    }
    return prompt.toString();
  }

  /** Returns the hash of the leading text, or 0 if the prompt is too short to share a prefix. */
  private static long hashPrefix(String prompt) {
    if (prompt.length() < PREFIX_CHARACTERS) {
      return 0;
    }
    return RendezvousHash.hash(prompt.substring(0, PREFIX_CHARACTERS));
  }
}
