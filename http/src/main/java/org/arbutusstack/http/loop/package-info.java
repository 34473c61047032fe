/** I/O loop that runs a server, clients and the decisions between them on one thread. */
package org.arbutusstack.http.loop;
