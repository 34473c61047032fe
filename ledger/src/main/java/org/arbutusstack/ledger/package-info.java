/** Holds the ledger package. */
package org.arbutusstack.ledger;
