package org.wigeonstage.console;

/**
 * The response to a submitted form.
 *
 * @param status the HTTP status
 * @param page the page, in HTML
 */
record EditResult(int status, String page) {}
