package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.wigeonstage.placement.RefusalReason;

/**
 * Holds interrupted streams that wait until the retry budget allows them to resume. The most urgent
 * ones resume first; of those, the ones whose callers disconnect first.
 *
 * <p>Needed when a backend server fails and interrupts many streams at once, and more of them could
 * resume before their callers disconnect than the budget allows at that moment.
 */
final class PendingResumptions {

  private static final Comparator<ForwardedRequest> ORDER =
      Comparator.comparing((ForwardedRequest request) -> request.placement().urgency())
          .thenComparing(request -> request.placement().startBy());

  private final GatewayCore core;
  private final Set<ForwardedRequest> waiting = new LinkedHashSet<>();

  PendingResumptions(GatewayCore core) {
    this.core = core;
  }

  void add(ForwardedRequest request) {
    waiting.add(request);
  }

  void remove(ForwardedRequest request) {
    waiting.remove(request);
  }

  boolean contains(ForwardedRequest request) {
    return waiting.contains(request);
  }

  /** Resumes as many streams as the budget allows, and refuses those that have waited too long. */
  void tick(Duration now) {
    if (waiting.isEmpty()) {
      return;
    }
    List<ForwardedRequest> ordered = new ArrayList<>(waiting);
    ordered.sort(ORDER);
    for (ForwardedRequest request : ordered) {
      if (now.compareTo(request.placement().startBy()) >= 0) {
        waiting.remove(request);
        core.guard()
            .run(
                request,
                "refusal",
                () -> request.refuse(RefusalReason.WAITED_TOO_LONG, Duration.ZERO));
      } else if (core.tryAcquireRetry(request.poolName())) {
        waiting.remove(request);
        core.resubmit(request);
      }
    }
  }
}
