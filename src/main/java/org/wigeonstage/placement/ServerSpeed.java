package org.wigeonstage.placement;

import java.time.Duration;

/** An estimate of the speed of one backend server, from the responses that this gateway gets. */
interface ServerSpeed {

  /**
   * Records that a request was sent to the server.
   *
   * @param pendingPromptTokens the prompt tokens of this and earlier requests of this gateway whose
   *     first part is awaited
   * @param occupied the requests that occupied the server before
   */
  void recordStart(PlacementRequest request, long pendingPromptTokens, int occupied, Duration now);

  void recordFirstPart(PlacementRequest request, Duration sinceStart);

  void recordEventGap(double millis);

  /**
   * Records the end of an attempt.
   *
   * @param occupied the requests that occupy the server, without this one
   */
  void recordEnd(PlacementRequest request, boolean isServed, int occupied, Duration now);

  void decay(Duration elapsed);

  /** Returns how many requests the server is to run at once. */
  int limit(int slots);

  /**
   * Returns the expected time to the first part.
   *
   * @param pendingPromptTokens the prompt tokens that the server processes until then
   * @param occupied the requests that occupy the server before
   */
  double firstPartMillis(long pendingPromptTokens, int occupied, int slots);

  double eventGapMillis(int occupied);

  /**
   * Returns for how long a request is expected to keep a slot, as compared with the longest time
   * for which a short one may keep a slot that is reserved for others.
   */
  double slotMillis(PlacementRequest request, long pendingPromptTokens, int occupied, int slots);

  double prefillMillisPerToken();
}
