package org.wigeonstage.ledger;

import java.time.Instant;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;

/** What a {@link RequestLedger} causes outside of itself. */
public interface LedgerEffects {

  /**
   * Sends a message to an entry. A message on a closed connection is dropped.
   *
   * @param link the connection
   * @param message the message
   */
  void send(LinkId link, Message message);

  /**
   * Sends a request to the backend server, once.
   *
   * @param id the request
   * @param spec the request's content
   * @param queuedAt when the request began to wait
   */
  void dispatch(RequestId id, RequestSpec spec, Instant queuedAt);

  /**
   * Ends a request at the backend server whose answer nobody waits for.
   *
   * @param id the request
   */
  void cancel(RequestId id);

  /**
   * Stops reading the answer until {@link #resumeReading}.
   *
   * @param id the request
   */
  void pauseReading(RequestId id);

  /**
   * Goes on reading the answer.
   *
   * @param id the request
   */
  void resumeReading(RequestId id);
}
