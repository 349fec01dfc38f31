package org.wigeonstage.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.queue.DispatchWindow;
import org.wigeonstage.queue.TierQueue;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.Tier;

/** Counts the requests at the backend server and their work. */
final class LoadTracker {

  private final WorkRate rate = new WorkRate();
  private int running;
  private long work;

  void started(RequestCost cost) {
    running++;
    work += cost.work();
  }

  void ended(RequestCost cost) {
    running--;
    work -= cost.work();
  }

  /** Counts work that the backend server got done. */
  void done(RequestCost cost, Instant now) {
    rate.add(cost.work(), now);
  }

  int running() {
    return running;
  }

  LoadReport report(TierQueue queue, DispatchWindow window) {
    int lowestWaitingRank = queue.lowestTier().map(Tier::rank).orElse(-1);
    return new LoadReport(
        running,
        window.size(),
        queue.size(),
        work + queue.work(),
        rate.perSecond(),
        lowestWaitingRank,
        room(queue, window));
  }

  private List<Integer> room(TierQueue queue, DispatchWindow window) {
    List<Integer> room = new ArrayList<>();
    for (int rank = 0; rank < LoadReport.REPORTED_TIERS; rank++) {
      Tier tier = Tier.of(rank);
      room.add(window.limitOf(tier) - running - queue.sizeAtOrAbove(tier));
    }
    return room;
  }
}
