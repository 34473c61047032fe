/** Accepts tickets into one ordered log, keeps a copy of it in each process, and spreads it among them. */
package org.arbutusstack.ledger;
