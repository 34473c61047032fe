/** Logback components that write log lines asynchronously, so that logging never blocks an event loop. */
package org.arbutusstack.daemon.log;
