/** The process beside each backend server: its ledger on sockets. */
@NullMarked
package org.wigeonstage.agent;

import org.jspecify.annotations.NullMarked;
