/** Dispatches the requests of callers to runners, retries them and relays the answers. */
package org.arbutusstack.gateway.request;
