package org.wigeonstage.ledger;

import java.time.Instant;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;

/**
 * Carries out the decisions of a {@link RequestLedger}: sends messages to entries, and controls the
 * calls to the backend server.
 */
public interface LedgerEffects {

  /**
   * Sends a message to an entry. Messages to a closed link are dropped.
   *
   * @param link the link
   * @param message the message
   */
  void send(LinkId link, Message message);

  /**
   * Sends a request to the backend server. The ledger calls this method at most once per request.
   *
   * @param id the request
   * @param spec the content of the request
   * @param queuedAt when the request entered the queue
   */
  void dispatch(RequestId id, RequestSpec spec, Instant queuedAt);

  /**
   * Aborts a dispatched request whose response is no longer needed.
   *
   * @param id the request
   */
  void cancel(RequestId id);

  /**
   * Pauses reading the response from the backend server until {@link #resumeReading} is called.
   *
   * @param id the request
   */
  void pauseReading(RequestId id);

  /**
   * Resumes reading the response from the backend server.
   *
   * @param id the request
   */
  void resumeReading(RequestId id);
}
