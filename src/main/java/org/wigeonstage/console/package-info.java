/**
 * The operators' web console.
 *
 * <p>An operator signs in with a key and gets a session cookie, which expires after 8 hours.
 * Entries keep no sessions: the cookie is signed with the hash of the key.
 *
 * <p>A form edits one object of the configuration document. It contains the version of the
 * configuration from which it was created (the base), the object's original JSON text, and an
 * identifier of the submission. Saving it submits the complete document with the edited object:
 *
 * <ul>
 *   <li>If the document is invalid, nothing changes, and the form is shown again with the faults.
 *   <li>If the configuration no longer has the base version, the submission is refused. The form is
 *       shown again with the changes made meanwhile, the new base and a new identifier; the
 *       original text serves to find the object again.
 *   <li>If it is not known whether the submission was written, the form is shown again with the
 *       same identifier, so that saving it again changes the configuration at most once.
 * </ul>
 */
@NullMarked
package org.wigeonstage.console;

import org.jspecify.annotations.NullMarked;
