package org.wigeonstage.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Which of a connection's requests is answered, which wait for their turn, and when the connection
 * may close. Decides only; safe for use by several threads.
 *
 * <p>Answers the load pattern of a connection that is asked to close for a reason of its own
 * (idleness, a caller that sends too far ahead, the end of the process) while a request arrives or
 * is open on it: what was taken is answered before the connection closes, and what comes later is
 * not taken.
 *
 * @param <R> the requests
 */
final class RequestSequence<R> {

  /** Requests that wait for the answers ahead of them; few callers send any. */
  private static final int MAX_WAITING = 32;

  /** The bodies of requests that wait, in bytes. */
  private static final int MAX_WAITING_BYTES = 1024 * 1024;

  /** What becomes of a request that was read. */
  enum Turn {
    /** It is answered now. */
    NOW,
    /** It waits for the answers ahead of it. */
    LATER,
    /** It waits as well, and is the last one that the connection takes. */
    LATER_AND_LAST,
    /** It is not taken, because the connection closes. */
    NEVER
  }

  private enum Phase {
    TAKING,
    FINISHING,
    CLOSED
  }

  private record Waiting<R>(R request, int bytes) {}

  private final Deque<Waiting<R>> waiting = new ArrayDeque<>();
  private Phase phase = Phase.TAKING;
  private @Nullable R open;
  private int waitingBytes;
  private boolean continueWanted;
  private Duration activeAt;

  RequestSequence(Duration now) {
    this.activeAt = now;
  }

  /** Takes a request that was read whole. */
  synchronized Turn add(R request, int bytes) {
    if (phase != Phase.TAKING) {
      return Turn.NEVER;
    }
    if (open == null) {
      open = request;
      return Turn.NOW;
    }
    waiting.addLast(new Waiting<>(request, bytes));
    waitingBytes += bytes;
    if (waiting.size() < MAX_WAITING && waitingBytes < MAX_WAITING_BYTES) {
      return Turn.LATER;
    }
    phase = Phase.FINISHING;
    return Turn.LATER_AND_LAST;
  }

  /**
   * Notes that the caller has taken the whole answer to the open request.
   *
   * @param keepsConnection whether the answer allowed further ones
   * @return the request whose turn it is, or null
   */
  synchronized @Nullable R answered(boolean keepsConnection, Duration now) {
    activeAt = now;
    if (!keepsConnection) {
      waiting.clear();
      phase = phase == Phase.TAKING ? Phase.FINISHING : phase;
    }
    Waiting<R> next = waiting.pollFirst();
    waitingBytes -= next == null ? waitingBytes : next.bytes();
    open = next == null ? null : next.request();
    return open;
  }

  /** Takes no further request; the connection closes after what is open. */
  synchronized void finish() {
    phase = phase == Phase.TAKING ? Phase.FINISHING : phase;
  }

  /** Finishes if nothing was asked for so long; returns whether it does so now. */
  synchronized boolean finishIfIdle(Duration now, Duration limit) {
    boolean isIdle = open == null && now.minus(activeAt).compareTo(limit) > 0;
    if (phase != Phase.TAKING || !isIdle) {
      return false;
    }
    phase = Phase.FINISHING;
    return true;
  }

  /** Returns whether the connection is to be closed now, which it tells once. */
  synchronized boolean closesNow() {
    if (phase != Phase.FINISHING || open != null) {
      return false;
    }
    phase = Phase.CLOSED;
    return true;
  }

  /** Takes nothing any more, whatever is open. */
  synchronized void cutOff() {
    phase = Phase.CLOSED;
    waiting.clear();
  }

  /** Notes that bytes of a request were read. */
  synchronized void read(Duration now) {
    activeAt = now;
  }

  synchronized boolean isTaking() {
    return phase == Phase.TAKING;
  }

  /** Returns whether the answer to the open request is the last one. */
  synchronized boolean isLast() {
    return phase != Phase.TAKING && waiting.isEmpty();
  }

  /** Returns how many requests were taken and are not answered. */
  synchronized int unanswered() {
    return waiting.size() + (open == null ? 0 : 1);
  }

  /**
   * Notes that a caller holds its body back until it is told to go on.
   *
   * @return whether it may be told now; otherwise {@link #takeContinue} tells when
   */
  synchronized boolean wantContinue() {
    continueWanted = open != null;
    return open == null;
  }

  /** Returns once whether the caller may now be told to send the body that it holds back. */
  synchronized boolean takeContinue() {
    boolean isDue = continueWanted && open == null && phase == Phase.TAKING;
    continueWanted &= !isDue;
    return isDue;
  }
}
