/** HTTP listeners, and handlers that respond with JSON, metrics and state dumps. */
package org.arbutusstack.http.server;
