/**
 * Allowances that all gateways share: the quotas of client accounts and the retry budgets of pools.
 *
 * <p>Points in time are readings of the monotonic clock, given as a {@code Duration} since the
 * clock's origin.
 *
 * <h2>Terms</h2>
 *
 * <ul>
 *   <li>own usage: the units that this gateway has acquired since its start, less refunds.
 *   <li>reported usage: the same of a peer, as of its last report.
 *   <li>known usage: own and reported usage.
 *   <li>assumed usage: units that are counted for a peer whose reports are missing.
 *   <li>recent usage: the usage of all gateways in the last window, as far as the gateway that
 *       reports it has counted it.
 *   <li>earlier usage: the usage of all gateways before this gateway's start. A peer that started
 *       before this gateway reports it with its recent usage.
 *   <li>acquire: take units for a request, if they are available.
 *   <li>count: add units to the sliding window and take them from the quota bucket.
 *   <li>charge: take units from the tolerance bucket that have been used or may have been used.
 *   <li>refund: return units to a bucket, because a request did not run or an assumption about a
 *       peer ends; for a request, also remove them from the sliding window.
 *   <li>share: the part of the units per window that one gateway may use if all use the same.
 * </ul>
 *
 * <h2>Quotas</h2>
 *
 * <p>A quota has a rate in units per second and a burst in units; a unit is a request or a token,
 * depending on the account. Each gateway admits requests by its own counts, and tells its peers
 * every 50 ms what it has used. The counts of a gateway therefore consist of its own usage, the
 * usage that peers have reported, and usage that is assumed for peers from which no reports arrive.
 *
 * <h3>Counters</h3>
 *
 * <p>For each account, {@link org.wigeonstage.quota.AccountUsage} has three counters in units:
 *
 * <ul>
 *   <li>The <em>sliding window</em> limits the total: the usage of all gateways in any window is at
 *       most {@code maxUnitsPerWindow}, which is 90 % of what operators tolerate.
 *   <li>The <em>tolerance bucket</em> spreads this usage over the window: in any time {@code t}, at
 *       most {@code toleratedBurst + sustainedRate * t} is used. A gateway that restarts and has
 *       lost its counts therefore knows how much can have been used before.
 *   <li>The <em>quota bucket</em> tells which requests exceed the quota itself, {@code burst + rate
 *       * t}. It starts empty. A request that exceeds it is admitted only if it delays no other
 *       request, and takes what is left in it.
 * </ul>
 *
 * <p>A request is admitted if the window and the tolerance bucket both allow it and, in addition,
 * the quota bucket allows it or no other request is delayed.
 *
 * <h3>Events</h3>
 *
 * <ul>
 *   <li>An acquisition of {@code u} units adds {@code u} to the window, takes {@code u} from the
 *       quota bucket, and takes {@code u}, multiplied as described below while peers are
 *       unresponsive, from the tolerance bucket.
 *   <li>A peer's report of {@code u} further units does the same. As they have already been used,
 *       the tolerance bucket may fall below zero, by at most {@code maxUnitsPerWindow}. If the
 *       peer's reports were missing before, the charge is at most what the peer counts as used and
 *       not yet replenished, less what this gateway counts already.
 *   <li>A refund of {@code u} units returns {@code u} to both buckets and removes it from the
 *       window at the time of the acquisition. If a peer reports the refund, that time is unknown,
 *       and the earliest possible one is used.
 *   <li>The assumed usage of a peer (below) changes the window and the quota bucket only, both when
 *       it is added and when it is removed.
 *   <li>The charge for a peer (below) changes the tolerance bucket only.
 *   <li>After a restart, the tolerance bucket starts with {@code toleratedBurstAfterRestart}, as if
 *       the tolerated burst had been used before. The first report of a peer that has run for
 *       longer replaces this: the usage in the peer's window is added to this gateway's window, and
 *       the tolerance bucket is refilled and then charged with the units that are missing from the
 *       peer's bucket and with this gateway's own usage. The quota bucket does not change.
 * </ul>
 *
 * <h3>Assumed usage of unresponsive peers</h3>
 *
 * <p>{@link org.wigeonstage.quota.PeerUsage} makes two independent assumptions for a peer that may
 * be running. Both end with the peer's next report or when it is found stopped, and may start again
 * once a stopped peer could have restarted. Nothing is charged any more for a peer that has left
 * the deployment, and its assumed usage leaves the window with time.
 *
 * <ul>
 *   <li>The <em>charge for a peer</em> starts when one report is late. Each unresponsive peer is
 *       assumed to use as much as the average responsive gateway, so with {@code g} gateways,
 *       {@code p} of them unresponsive, each unit of known usage takes {@code 1 + p / (g - p)}
 *       units from the tolerance bucket. When the assumption ends, the units taken for the peer
 *       since it started are refunded. A restarted gateway charges for every peer until the peer's
 *       first report. Without this charge, each gateway of a partition could use the whole
 *       tolerated burst and sustained rate.
 *   <li>The <em>assumed usage</em> starts when several reports are missing, for peers that have
 *       reported before. The peer's share, {@code maxUnitsPerWindow / g}, counts as used, less what
 *       the peer has reported in the window. When the assumption ends, it is removed from the
 *       window at the times at which it was added.
 * </ul>
 *
 * <h3>How the total stays within the tolerance</h3>
 *
 * <p>Operators tolerate {@code (rate * window + burst) * (1 + overageRatio) + slack} in any window.
 * {@code maxUnitsPerWindow} is 90 % of that; the rest covers usage that is not reported yet. It is
 * divided so that
 *
 * <pre>
 * toleratedBurst + sustainedRate * window + toleratedBurstAfterRestart = maxUnitsPerWindow
 * </pre>
 *
 * <p>If all gateways restart and a window begins a time {@code t} before the restart, at most
 * {@code toleratedBurst + sustainedRate * t} is used before the restart, and at most {@code
 * toleratedBurstAfterRestart + sustainedRate * (window - t)} after it. The sum is the same.
 */
@NullMarked
package org.wigeonstage.quota;

import org.jspecify.annotations.NullMarked;
