package org.wigeonstage.rollout;

import java.time.Duration;

/**
 * What the elected gateway sends to all others: the order as far as it knows it, and its step.
 *
 * @param order the order
 * @param step the step
 * @param age the time since the order was known
 */
public record RolloutDirective(RolloutOrder order, RolloutStep step, Duration age) {}
