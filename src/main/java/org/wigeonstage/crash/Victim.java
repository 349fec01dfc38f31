package org.wigeonstage.crash;

/**
 * A request that was interrupted by a crash.
 *
 * @param number its number among the victims of all crashes, in order of the crashes
 * @param crash the position of its crash
 */
record Victim(int number, int crash) {}
