package org.wigeonstage.standin;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ServerExchange;

/**
 * One request in an engine: its prompt, its progress and the bytes of its response. The reader is
 * the connection that these bytes are sent to; when a stream is resumed, it is replaced.
 */
final class EngineStream {

  /**
   * The number of undelivered bytes above which generation pauses because the reader is too slow.
   */
  private static final long MAX_UNREAD_BYTES = 64 * 1024;

  private final String id;
  private final String prompt;
  private final int maxTokens;
  private final boolean streaming;
  private final ByteArrayOutputStream produced = new ByteArrayOutputStream();
  private @Nullable ServerExchange reader;
  private long readerOffset;
  private volatile long deliveredBytes;
  private int remainingPrefillTokens;
  private int generated;
  private boolean ended;
  private boolean cancelled;

  EngineStream(String id, String prompt, int maxTokens, boolean streaming) {
    this.id = id;
    this.prompt = prompt;
    this.maxTokens = maxTokens;
    this.streaming = streaming;
  }

  String id() {
    return id;
  }

  String prompt() {
    return prompt;
  }

  int promptTokens() {
    return prompt.length() / PrefixCache.CHARACTERS_PER_TOKEN;
  }

  boolean isStreaming() {
    return streaming;
  }

  void startPrefill(int tokens) {
    remainingPrefillTokens = tokens;
  }

  /** Processes up to the given number of prompt tokens; returns how many were processed. */
  int prefill(int budget) {
    int done = Math.min(budget, remainingPrefillTokens);
    remainingPrefillTokens -= done;
    return done;
  }

  boolean isPrefilled() {
    return remainingPrefillTokens == 0;
  }

  /** Adds a generated token; returns its index, from 0. */
  int addToken() {
    return generated++;
  }

  boolean isGenerationComplete() {
    return generated >= maxTokens;
  }

  int generated() {
    return generated;
  }

  /** Returns whether generation must pause because the reader is too slow. */
  synchronized boolean isStalled() {
    return reader != null && produced.size() - readerOffset - deliveredBytes > MAX_UNREAD_BYTES;
  }

  synchronized void append(byte[] data) {
    produced.writeBytes(data);
    ServerExchange current = reader;
    if (current != null) {
      current.write(data);
    }
  }

  synchronized void end() {
    ended = true;
    ServerExchange current = reader;
    if (current != null) {
      current.end();
    }
  }

  synchronized void cancel() {
    cancelled = true;
    end();
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  synchronized boolean isEnded() {
    return ended;
  }

  /** Makes an exchange the reader: sends it the bytes from an offset on, and all that follow. */
  synchronized void attach(ServerExchange exchange, long offset) {
    reader = exchange;
    readerOffset = offset;
    deliveredBytes = 0;
    exchange.onDelivered(count -> deliveredBytes = count);
    byte[] all = produced.toByteArray();
    if (offset < all.length) {
      exchange.write(Arrays.copyOfRange(all, (int) offset, all.length));
    }
    if (ended) {
      exchange.end();
    }
  }

  /** Breaks the reader's connection, as a network failure would; generation continues. */
  synchronized void dropReader() {
    ServerExchange current = reader;
    reader = null;
    if (current != null) {
      current.abort();
    }
  }
}
