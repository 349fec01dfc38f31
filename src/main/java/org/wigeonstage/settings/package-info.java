/** The settings of each process: JSON files with defaults, validated when they are loaded. */
@NullMarked
package org.wigeonstage.settings;

import org.jspecify.annotations.NullMarked;
