/** Requests, their identity and priority, and the refusals with which they can end. */
package org.arbutusstack.model.request;
