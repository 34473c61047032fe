/** The side role: a process beside one backend server that is the sole issuer of its work and orders. */
package org.arbutusstack.side;
