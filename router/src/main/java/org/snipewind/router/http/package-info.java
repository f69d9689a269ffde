/**
 * HTTP/1.1 connections to targets and the platform, one request at a time on each, with strict checks of the answers.
 */
package org.snipewind.router.http;
