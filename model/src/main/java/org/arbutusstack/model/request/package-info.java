/** Describes requests and the ways in which they end. */
package org.arbutusstack.model.request;
