/**
 * Adapter for the platform that gateways run on: its store, the configuration and the registered
 * backend servers in it, and its header fields. Entries and agents use another interface, {@link
 * org.wigeonstage.store.ObjectStore}.
 *
 * <p>The store's objects have a kind, a name and a content ({@code spec}). One revision counts the
 * writes to all objects. A list returns the objects of a kind in pages; a watch then waits for the
 * changes since a revision, of which the store keeps a limited history.
 *
 * <p>The platform's names differ from those of this project:
 *
 * <ul>
 *   <li>{@code service}: a pool of backend servers; {@code instance} or runner: a backend server
 *   <li>{@code tenant}: a client account; {@code Credential}: an API key
 *   <li>{@code zone}: a failure domain
 *   <li>{@code draining}: leaving; {@code born}: the start time
 *   <li>{@code stride}: the number of tokens in an event of a stream
 *   <li>{@code Attempt-Id}: the ID of a submission, sent with each attempt
 *   <li>{@code Length-Hint}: the expected number of tokens in the response
 *   <li>{@code Target-Instance}: the ID of the backend server that a request is meant for; another
 *       one does not run the request
 * </ul>
 */
@NullMarked
package org.wigeonstage.platform;

import org.jspecify.annotations.NullMarked;
