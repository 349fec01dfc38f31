package org.wigeonstage.ledger;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.request.RequestId;

/**
 * A submission that is attached to an {@link Execution}: its entry receives the response.
 *
 * <p>Submissions with the same idempotency key are attached to one execution. While the link to its
 * entry is down, a submission has none, until the entry resumes it on a new link.
 */
final class AttachedSubmission {

  private final RequestId id;
  private final Execution execution;
  private final Instant startBy;
  private @Nullable LinkId link;
  private long acknowledgedOffset;

  AttachedSubmission(RequestId id, Execution execution, Instant startBy, LinkId link) {
    this.id = id;
    this.execution = execution;
    this.startBy = startBy;
    this.link = link;
  }

  RequestId id() {
    return id;
  }

  Execution execution() {
    return execution;
  }

  /** Returns the latest start in the offer of this submission. */
  Instant startBy() {
    return startBy;
  }

  @Nullable LinkId link() {
    return link;
  }

  void updateLink(LinkId newLink) {
    link = newLink;
  }

  void clearLink() {
    link = null;
  }

  boolean usesLink(LinkId other) {
    return other.equals(link);
  }

  /** Returns the number of response body bytes that the entry has acknowledged. */
  long acknowledgedOffset() {
    return acknowledgedOffset;
  }

  void acknowledge(long offset) {
    acknowledgedOffset = Math.max(acknowledgedOffset, offset);
  }
}
