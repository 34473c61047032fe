/** Runs beside one backend server: the sole issuer of its work and orders. */
package org.arbutusstack.side;
