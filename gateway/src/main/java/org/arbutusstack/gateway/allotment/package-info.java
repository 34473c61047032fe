/** Allotments of teams that all entries share: the pools that sides keep, and the account of each entry. */
package org.arbutusstack.gateway.allotment;
