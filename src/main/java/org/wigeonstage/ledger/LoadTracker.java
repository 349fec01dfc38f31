package org.wigeonstage.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.queue.DispatchWindow;
import org.wigeonstage.queue.TierQueue;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.Tier;

/** Tracks the requests that run at the backend server, and their estimated work. */
final class LoadTracker {

  private final WorkRate workRate = new WorkRate();
  private int runningRequests;
  private long runningWork;

  void addRunning(RequestCost cost) {
    runningRequests++;
    runningWork += cost.work();
  }

  void removeRunning(RequestCost cost) {
    runningRequests--;
    runningWork -= cost.work();
  }

  /** Records work that the backend server has completed. */
  void addCompleted(RequestCost cost, Instant now) {
    workRate.add(cost.work(), now);
  }

  int runningRequests() {
    return runningRequests;
  }

  LoadReport createReport(TierQueue queue, DispatchWindow window) {
    int rankOfLowestWaitingTier = queue.lowestTier().map(Tier::rank).orElse(-1);
    return new LoadReport(
        runningRequests,
        window.size(),
        queue.size(),
        runningWork + queue.work(),
        workRate.perSecond(),
        rankOfLowestWaitingTier,
        headroomByTier(queue, window));
  }

  private List<Integer> headroomByTier(TierQueue queue, DispatchWindow window) {
    List<Integer> headroom = new ArrayList<>();
    for (int rank = 0; rank < LoadReport.REPORTED_TIERS; rank++) {
      Tier tier = Tier.of(rank);
      headroom.add(window.limitOf(tier) - runningRequests - queue.sizeAtOrAbove(tier));
    }
    return headroom;
  }
}
