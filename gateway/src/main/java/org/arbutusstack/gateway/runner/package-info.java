/** Keeps what an entry knows of the runners it can send work to. */
package org.arbutusstack.gateway.runner;
