package org.wigeonstage.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.HttpCall;

/** Sends a call and waits for the complete response. */
public final class BlockingCall implements ResponseListener {

  /** Several times the largest page of a list that the platform's store sends. */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final Endpoint target;
  private @Nullable ResponseHead head;

  private BlockingCall(Endpoint target) {
    this.target = target;
  }

  /**
   * Sends a call and waits for the complete response.
   *
   * @param client the client that sends the call
   * @param target the address of the server
   * @param call the call to send
   * @param fields further header fields
   * @param timeout how long to wait for the complete response
   * @return the response
   * @throws CallFailedException if no complete response arrived within the timeout
   */
  public static HttpResponse execute(
      HttpClient client,
      Endpoint target,
      HttpCall call,
      Map<String, String> fields,
      Duration timeout) {
    return start(client, target, call, fields).await(timeout);
  }

  /** A call that was sent. */
  public static final class Pending {

    private final BlockingCall call;
    private final ClientExchange exchange;

    private Pending(BlockingCall call, ClientExchange exchange) {
      this.call = call;
      this.exchange = exchange;
    }

    /**
     * Waits for the complete response.
     *
     * @param timeout how long to wait
     * @return the response
     * @throws CallFailedException if no complete response arrived within the timeout, or the call
     *     was canceled
     */
    public HttpResponse await(Duration timeout) {
      return call.await(exchange, timeout);
    }

    /**
     * Makes the call fail unless its response has arrived. The thread that awaits it aborts the
     * exchange.
     *
     * @param reason the message of the exception
     */
    public void cancel(String reason) {
      call.response.completeExceptionally(new CallFailedException(reason, true, null));
    }
  }

  /**
   * Sends a call.
   *
   * @param client the client that sends the call
   * @param target the address of the server
   * @param call the call to send
   * @param fields further header fields
   * @return the call, whose response must be awaited
   */
  public static Pending start(
      HttpClient client, Endpoint target, HttpCall call, Map<String, String> fields) {
    BlockingCall listener = new BlockingCall(target);
    return new Pending(listener, client.send(target, call, fields, listener));
  }

  private HttpResponse await(ClientExchange exchange, Duration timeout) {
    try {
      return response.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      exchange.abort();
      throw new CallFailedException(
          "no complete response from " + target + " within " + timeout.toMillis() + " ms", true, e);
    } catch (ExecutionException e) {
      exchange.abort();
      throw e.getCause() instanceof CallFailedException failure
          ? failure
          : new CallFailedException("call to " + target + " failed", true, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      exchange.abort();
      throw new CallFailedException("interrupted while calling " + target, true, e);
    }
  }

  @Override
  public void onHead(ResponseHead newHead) {
    head = newHead;
  }

  @Override
  public void onStart(int status, @Nullable String contentType) {
    throw new IllegalStateException("onHead is overridden");
  }

  @Override
  public void onData(byte[] data) {
    if (response.isDone()) {
      return;
    }
    if (body.size() + data.length > MAX_RESPONSE_BYTES) {
      response.completeExceptionally(
          new CallFailedException(
              "the response exceeds " + MAX_RESPONSE_BYTES + " bytes", true, null));
      return;
    }
    body.writeBytes(data);
  }

  @Override
  public void onComplete() {
    ResponseHead received = Objects.requireNonNull(head, "the response has no head");
    response.complete(new HttpResponse(received.status(), received.fields(), body.toByteArray()));
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    response.completeExceptionally(
        new CallFailedException("can't connect to the server", false, cause));
  }

  @Override
  public void onFailure(Throwable cause) {
    response.completeExceptionally(
        new CallFailedException("connection lost before the complete response", true, cause));
  }
}
