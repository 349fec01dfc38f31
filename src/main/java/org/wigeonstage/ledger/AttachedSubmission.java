package org.wigeonstage.ledger;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.request.RequestId;

/** One submission that waits for the answer of an {@link Execution}. */
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

  /** Returns the time in the submission's offer. */
  Instant startBy() {
    return startBy;
  }

  @Nullable LinkId link() {
    return link;
  }

  void attach(LinkId newLink) {
    link = newLink;
  }

  void detach() {
    link = null;
  }

  boolean isAttachedTo(LinkId other) {
    return other.equals(link);
  }

  long acknowledgedOffset() {
    return acknowledgedOffset;
  }

  void acknowledge(long offset) {
    acknowledgedOffset = Math.max(acknowledgedOffset, offset);
  }
}
