/**
 * Orders by which an agent loads and unloads models on its backend server, and the lease that
 * allows one run of the agent to send them.
 *
 * <p>The incarnation of an agent is a number that identifies one run of it and grows with each
 * start. The agent sends this number with its orders, as their fencing number: a backend server
 * that checks fencing numbers refuses orders with a lower number than it has received before, so
 * that an agent that has been replaced can't change the loaded models any more. A load slot is the
 * permission to load from the weight store, the store that holds the weights of the models.
 */
@NullMarked
package org.wigeonstage.orders;

import org.jspecify.annotations.NullMarked;
