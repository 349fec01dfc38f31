package org.wigeonstage.dispatch;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.RequestId;

/** What a {@link RequestDispatcher} causes outside of itself. */
public interface DispatcherEffects {

  /**
   * Sends a message to an agent on its open connection. Without one the message is dropped.
   *
   * @param agent the agent's name
   * @param message the message
   */
  void send(String agent, Message message);

  /**
   * Opens a connection to an agent that none is kept to.
   *
   * @param agent the agent's name
   */
  void connect(String agent);

  /**
   * Gives the caller the beginning of its answer.
   *
   * @param id the request
   * @param status the HTTP status
   * @param contentType the media type, or null
   */
  void startResponse(RequestId id, int status, @Nullable String contentType);

  /**
   * Gives the caller a part of its answer.
   *
   * @param id the request
   * @param data the bytes, not to be modified
   */
  void continueResponse(RequestId id, byte[] data);

  /**
   * Tells the caller what became of its request.
   *
   * @param id the request
   * @param result the outcome
   */
  void finish(RequestId id, DispatchResult result);
}
