/** Runs a server, clients and the decisions between them on one I/O thread. */
package org.arbutusstack.http.loop;
