/**
 * HTTP/1.1 client connections to targets and the platform, with one request at a time on each connection and strict
 * validation of responses.
 */
package org.snipewind.router.http;
