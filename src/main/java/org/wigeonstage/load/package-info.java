/**
 * The load generator, its experiments and reports.
 *
 * <p>An {@link org.wigeonstage.load.Experiment} consists of classes of similar requests, each with
 * a mean rate and mean lengths. Before the first request is sent, the random seed determines when
 * each request is due and what it contains. Each is then sent when it is due, even if earlier
 * responses are late (open loop): a slow deployment does not reduce the load. If no connection to
 * an entry can be made, the request is submitted to the next entry, up to as many times as there
 * are entries. All times of a request are measured from when it was due.
 *
 * <p>The reports use these terms:
 *
 * <ul>
 *   <li>The <em>outcome</em> of a request is <em>completed</em>; <em>not run</em>, if the caller
 *       was told that no backend server ran it or if no connection could be made; or
 *       <em>unknown</em>, for example if the connection broke before the response ended.
 *   <li>The <em>first part</em> of a response is the first piece of its body that arrives. The
 *       <em>mean gap</em> of a response is the mean time between two pieces of its body.
 *   <li>A request is <em>good</em> if it completed, got its own, complete response, and the first
 *       part came within the target of its class. The <em>goodput</em> is the number of good
 *       requests.
 *   <li><em>Prefill</em> is the processing of prompts by engines, in tokens. It is
 *       <em>computed</em> by an engine or <em>saved</em> by the engine's prefix cache. Computed
 *       prefill beyond what the completed requests need if each block of a prompt is processed only
 *       once is <em>wasted</em>.
 * </ul>
 */
@NullMarked
package org.wigeonstage.load;

import org.jspecify.annotations.NullMarked;
