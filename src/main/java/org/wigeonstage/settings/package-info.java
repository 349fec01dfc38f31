/** Settings of each process: JSON files, checked whole, with defaults. */
@NullMarked
package org.wigeonstage.settings;

import org.jspecify.annotations.NullMarked;
