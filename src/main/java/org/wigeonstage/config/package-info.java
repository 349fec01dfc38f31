/** The configuration document: its shape, its checks and the version in force. */
@NullMarked
package org.wigeonstage.config;

import org.jspecify.annotations.NullMarked;
