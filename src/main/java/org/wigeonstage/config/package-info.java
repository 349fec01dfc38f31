/**
 * The configuration document: its parts, its validation, its changes and the version in force.
 *
 * <p>The document defines tiers of urgency, client accounts, pools of backend servers and rules.
 * Operators change it, and all entries and agents apply it. It is one object in the platform's
 * object store, together with the history, the last 1000 accepted changes. The store assigns it a
 * version, which increases with each write.
 *
 * <p>A submission of a change contains the complete new document, the version that it is based on
 * and an identifier. It is:
 *
 * <ul>
 *   <li><em>rejected</em> with a list of faults if the document is invalid;
 *   <li><em>accepted</em> if the history contains the identifier, or if the version in the store is
 *       the one that it is based on and the write succeeds;
 *   <li><em>refused</em> if the store has another version and the history does not contain the
 *       identifier;
 *   <li><em>undecided</em> if the platform has not confirmed the write, which may still take
 *       effect. The operator then submits it again with the same identifier.
 * </ul>
 *
 * <p>When a pool's members change, idempotency keys move to other home agents, the agents that
 * decide about them. The writer therefore records in the document the last change of the members of
 * each pool.
 */
@NullMarked
package org.wigeonstage.config;

import org.jspecify.annotations.NullMarked;
