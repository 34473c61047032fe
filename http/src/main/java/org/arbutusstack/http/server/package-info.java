/** Builds HTTP listeners and answers with JSON, metrics and state dumps. */
package org.arbutusstack.http.server;
