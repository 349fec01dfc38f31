/** The configuration document: its parts, its validation, its changes and the version in force. */
@NullMarked
package org.wigeonstage.config;

import org.jspecify.annotations.NullMarked;
