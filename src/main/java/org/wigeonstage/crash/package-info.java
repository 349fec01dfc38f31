/**
 * Finds the parts of prompts that crash backend servers, and holds requests that have them.
 *
 * <p>A <em>crash</em> is the end of a run of a server that interrupted requests at the beginning of
 * their responses. Their prompts' parts are <em>suspects</em>: one of them may have crashed the
 * server, the server may have ended by itself, or only the connections were lost. Three
 * observations tell these cases apart:
 *
 * <ul>
 *   <li>A part is <em>cleared</em> by a response to a request with it that a server continues past
 *       its beginning, because a part that crashes servers crashes each one.
 *   <li>A crash is <em>refuted</em> by anything that the same run of the server sends later.
 *   <li>A part that occurs in several crashes <em>explains</em> them. Parts that explain no more
 *       crashes than it does are not held for these, unless they cannot be told apart from it.
 * </ul>
 *
 * <p>A part that explains enough crashes, and has not been cleared since, is <em>held</em>:
 * requests with it are not sent to servers, except for rare <em>trials</em>. All gateways exchange
 * what they observe; merging the observations of any gateways in any order gives the same result.
 */
@NullMarked
package org.wigeonstage.crash;

import org.jspecify.annotations.NullMarked;
