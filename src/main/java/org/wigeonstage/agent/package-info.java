/**
 * The agent process, which runs next to a backend server and connects its ledger to entries, the
 * backend server and the platform. Each start of the process has a new incarnation, a number that
 * is higher than those of earlier starts.
 */
@NullMarked
package org.wigeonstage.agent;

import org.jspecify.annotations.NullMarked;
