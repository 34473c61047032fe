/** Sends HTTP calls without blocking and tells whether a failed one may have reached its server. */
package org.arbutusstack.http.client;
