package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wigeonstage.placement.RefusalReason;

/**
 * Begun streams that wait for the retry budget, the most urgent first, and among those the one
 * whose caller leaves first.
 *
 * <p>Answers the load pattern in which many streams break at once with a backend server, and more
 * of them can go on within their callers' patience than the budget allows in that moment.
 */
final class PendingRetries {

  private static final Comparator<ForwardedRequest> ORDER =
      Comparator.comparing((ForwardedRequest request) -> request.placed().urgency())
          .thenComparing(request -> request.placed().startBy());

  private final GatewayCore core;
  private final List<ForwardedRequest> waiting = new ArrayList<>();

  PendingRetries(GatewayCore core) {
    this.core = core;
  }

  void add(ForwardedRequest request) {
    waiting.add(request);
  }

  void remove(ForwardedRequest request) {
    waiting.remove(request);
  }

  /** Lets go on what the budget allows, and refuses what waited for as long as its caller does. */
  void tick(Duration now) {
    if (waiting.isEmpty()) {
      return;
    }
    List<ForwardedRequest> inOrder = new ArrayList<>(waiting);
    inOrder.sort(ORDER);
    for (ForwardedRequest request : inOrder) {
      if (now.compareTo(request.placed().startBy()) >= 0) {
        waiting.remove(request);
        request.refuse(RefusalReason.WAITED_TOO_LONG, Duration.ZERO);
      } else if (core.tryRepeat(request.pool())) {
        waiting.remove(request);
        core.submitAgain(request);
      }
    }
  }
}
