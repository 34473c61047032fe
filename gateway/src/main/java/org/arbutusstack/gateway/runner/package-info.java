/**
 * Runners as seen by one entry: the directory of runners, the links to their sides, and the state, health and speed of
 * each runner.
 *
 * <p>A side is the process that runs next to an engine on the same host and reports its state.
 */
package org.arbutusstack.gateway.runner;
