package org.wigeonstage.offer;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.RequestId;

/** Carries out the decisions of a {@link OfferCoordinator}. */
public interface OfferEffects {

  /**
   * Sends a message to an agent on its open link. The message is dropped if no link is open.
   *
   * @param agent the name of the agent
   * @param message the message
   */
  void send(String agent, Message message);

  /**
   * Opens a link on demand to an agent that has no permanent one.
   *
   * @param agent the name of the agent
   */
  void connect(String agent);

  /**
   * Starts the response to the caller.
   *
   * @param id the request identifier
   * @param status the HTTP status
   * @param contentType the media type, or null
   */
  void startResponse(RequestId id, int status, @Nullable String contentType);

  /**
   * Sends the next part of the response to the caller.
   *
   * @param id the request identifier
   * @param data the bytes, not to be modified
   */
  void continueResponse(RequestId id, byte[] data);

  /**
   * Ends the request with its final result.
   *
   * @param id the request identifier
   * @param result the result
   */
  void finish(RequestId id, SubmissionResult result);
}
