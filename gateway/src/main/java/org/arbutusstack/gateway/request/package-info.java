/** Decides what becomes of each request of a caller. */
package org.arbutusstack.gateway.request;
