package org.wigeonstage.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Creates the responses of an engine stand-in. Their text depends only on the prompt, so that a
 * caller can check that a response belongs to its request.
 */
public final class EngineResponses {

  private EngineResponses() {}

  /**
   * Returns a word of the response to a prompt.
   *
   * @param prompt the prompt
   * @param index the index of the word, from 0
   * @return the word, followed by a space
   */
  public static String word(String prompt, int index) {
    return digestOf(prompt) + "-" + index + " ";
  }

  /**
   * Returns the complete text of the response to a prompt.
   *
   * @param prompt the prompt
   * @param words the number of words
   * @return the text
   */
  public static String text(String prompt, int words) {
    String digest = digestOf(prompt);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < words; i++) {
      text.append(digest).append('-').append(i).append(' ');
    }
    return text.toString();
  }

  private static String digestOf(String prompt) {
    return Hashing.farmHashFingerprint64().hashString(prompt, StandardCharsets.UTF_8).toString();
  }

  static byte[] event(String id, String model, String word) {
    ObjectNode chunk = envelope(id, model, "chat.completion.chunk");
    ObjectNode choice = addChoice(chunk);
    choice.putObject("delta").put("content", word);
    choice.putNull("finish_reason");
    return ("data: " + chunk + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  static byte[] lastEvent() {
    return "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
  }

  static byte[] response(String id, String model, String prompt, int promptTokens, int words) {
    ObjectNode response = envelope(id, model, "chat.completion");
    ObjectNode choice = addChoice(response);
    choice.putObject("message").put("role", "assistant").put("content", text(prompt, words));
    choice.put("finish_reason", "length");
    response
        .putObject("usage")
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", words)
        .put("total_tokens", promptTokens + words);
    return response.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static ObjectNode envelope(String id, String model, String type) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", id)
        .put("object", type)
        .put("model", model);
  }

  private static ObjectNode addChoice(ObjectNode response) {
    ArrayNode choices = response.putArray("choices");
    return choices.addObject().put("index", 0);
  }
}
