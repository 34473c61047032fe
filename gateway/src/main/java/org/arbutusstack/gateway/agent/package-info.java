/**
 * Agent of one runner, which runs on the runner's host: polls the runner's state, publishes it to the entries, and
 * issues orders to load and unload models and adapters.
 */
package org.arbutusstack.gateway.agent;
