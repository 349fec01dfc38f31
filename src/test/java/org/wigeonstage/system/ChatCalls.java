package org.wigeonstage.system;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.standin.EngineResponses;

/** Sends chat completion calls and checks their responses. */
final class ChatCalls {

  private ChatCalls() {}

  static String chatBody(String prompt, int tokens, boolean stream) {
    return "{\"model\":\"test-model\",\"max_tokens\":"
        + tokens
        + ",\"stream\":"
        + stream
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + prompt
        + "\"}]}";
  }

  /** Starts streaming calls with distinct prompts. */
  static List<StreamingCall> startStreams(
      HttpClient client, Endpoint entry, String prefix, int count, int tokens) {
    List<StreamingCall> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      StreamingCall call = new StreamingCall(prefix + i, tokens);
      HttpCall http =
          new HttpCall(
              "POST",
              "/v1/chat/completions",
              "application/json",
              chatBody(prefix + i, tokens, true).getBytes(StandardCharsets.UTF_8));
      client.send(entry, http, Map.of("Authorization", "Bearer " + ProcessFleet.ACCOUNT_KEY), call);
      calls.add(call);
    }
    return calls;
  }

  /** Collects the response to a streaming call. */
  static final class StreamingCall implements ResponseListener {

    private final String prompt;
    private final int tokens;
    private final StringBuffer receivedText = new StringBuffer();
    private final CompletableFuture<String> end = new CompletableFuture<>();
    private volatile int status;

    StreamingCall(String prompt, int tokens) {
      this.prompt = prompt;
      this.tokens = tokens;
    }

    boolean hasStarted() {
      return receivedText.length() > 0;
    }

    /**
     * Waits up to 60 s for the end of the response.
     *
     * @return the outcome reported by the last outcome event, or a description of the failure
     */
    String awaitOutcome() throws Exception {
      String result = end.get(60, TimeUnit.SECONDS);
      if (!result.equals("ended")) {
        return result;
      }
      String body = receivedText.toString();
      int index = body.lastIndexOf("\"outcome\":\"");
      if (index < 0) {
        return "no outcome, status " + status;
      }
      String outcome = body.substring(index + 11, body.indexOf('"', index + 11));
      return outcome.equals("completed") && !isComplete(body)
          ? "completed with a wrong body"
          : outcome;
    }

    private boolean isComplete(String body) {
      String remaining = body;
      for (int i = 0; i < tokens; i++) {
        int index = remaining.indexOf(EngineResponses.word(prompt, i));
        if (index < 0) {
          return false;
        }
        remaining = remaining.substring(index);
      }
      return !remaining.contains(EngineResponses.word(prompt, tokens))
          && remaining.contains("[DONE]");
    }

    @Override
    public void onStart(int newStatus, @Nullable String contentType) {
      status = newStatus;
    }

    @Override
    public void onData(byte[] data) {
      receivedText.append(new String(data, StandardCharsets.UTF_8));
    }

    @Override
    public void onComplete() {
      end.complete("ended");
    }

    @Override
    public void onConnectFailure(Throwable cause) {
      end.complete("not connected");
    }

    @Override
    public void onFailure(Throwable cause) {
      end.complete("connection lost");
    }
  }
}
