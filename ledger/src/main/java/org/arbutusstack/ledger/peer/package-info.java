/** Spreads the ticket log among processes by their links, and chooses which of them read the key-value service. */
package org.arbutusstack.ledger.peer;
