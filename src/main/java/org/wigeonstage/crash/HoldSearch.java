package org.wigeonstage.crash;

import java.util.List;

/**
 * The result of a search for parts that explain the crashes.
 *
 * @param holds the holds, which have no part in common; those that explain most come first
 * @param explanations one hold for each set of crashes that the holds explain
 * @param steps how many times the search has looked at a part of a crash
 */
record HoldSearch(List<PartHold> holds, List<PartHold> explanations, long steps) {}
