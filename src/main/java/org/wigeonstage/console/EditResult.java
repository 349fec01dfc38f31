package org.wigeonstage.console;

/**
 * The answer to a posted form.
 *
 * @param status the HTTP status
 * @param page the page
 */
record EditResult(int status, String page) {}
