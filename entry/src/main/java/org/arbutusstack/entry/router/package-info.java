/** Routing of caller requests to the sides, on a single event loop. */
package org.arbutusstack.entry.router;
