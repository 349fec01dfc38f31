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
import org.wigeonstage.standin.EngineAnswers;

/** Makes model calls whose answers are checked. */
final class Callers {

  private Callers() {}

  static String chatBody(String prompt, int tokens, boolean stream) {
    return "{\"model\":\"test-model\",\"max_tokens\":"
        + tokens
        + ",\"stream\":"
        + stream
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + prompt
        + "\"}]}";
  }

  /** Starts streamed calls, each with a prompt of its own. */
  static List<StreamedCall> startStreams(
      HttpClient client, Endpoint entry, String prefix, int count, int tokens) {
    List<StreamedCall> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      StreamedCall call = new StreamedCall(prefix + i, tokens);
      HttpCall http =
          new HttpCall(
              "POST",
              "/v1/chat/completions",
              "application/json",
              chatBody(prefix + i, tokens, true).getBytes(StandardCharsets.UTF_8));
      client.send(entry, http, Map.of("Authorization", "Bearer " + Fleet.ACCOUNT_KEY), call);
      calls.add(call);
    }
    return calls;
  }

  /** A streamed call and what came of it. */
  static final class StreamedCall implements ResponseListener {

    private final String prompt;
    private final int tokens;
    private final StringBuffer text = new StringBuffer();
    private final CompletableFuture<String> end = new CompletableFuture<>();
    private volatile int status;

    StreamedCall(String prompt, int tokens) {
      this.prompt = prompt;
      this.tokens = tokens;
    }

    boolean hasBegun() {
      return text.length() > 0;
    }

    /** Waits for the end; returns the outcome event's outcome, or what went wrong. */
    String outcome() throws Exception {
      String how = end.get(60, TimeUnit.SECONDS);
      if (!how.equals("ended")) {
        return how;
      }
      String all = text.toString();
      int at = all.lastIndexOf("\"outcome\":\"");
      if (at < 0) {
        return "no outcome, status " + status;
      }
      String outcome = all.substring(at + 11, all.indexOf('"', at + 11));
      return outcome.equals("completed") && !isWhole(all) ? "completed but wrong" : outcome;
    }

    private boolean isWhole(String all) {
      String rest = all;
      for (int i = 0; i < tokens; i++) {
        int at = rest.indexOf(EngineAnswers.word(prompt, i));
        if (at < 0) {
          return false;
        }
        rest = rest.substring(at);
      }
      return !rest.contains(EngineAnswers.word(prompt, tokens)) && rest.contains("[DONE]");
    }

    @Override
    public void onStart(int newStatus, @Nullable String contentType) {
      status = newStatus;
    }

    @Override
    public void onData(byte[] data) {
      text.append(new String(data, StandardCharsets.UTF_8));
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
      end.complete("broken");
    }
  }
}
