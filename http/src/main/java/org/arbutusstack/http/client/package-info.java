/** Non-blocking HTTP client that reports whether a failed call may have reached its server. */
package org.arbutusstack.http.client;
