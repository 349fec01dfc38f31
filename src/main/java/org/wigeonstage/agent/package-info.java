/**
 * The agent process, which runs next to a backend server and connects its ledger to entries, the
 * backend server and the platform.
 */
@NullMarked
package org.wigeonstage.agent;

import org.jspecify.annotations.NullMarked;
