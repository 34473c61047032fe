/** Runs real daemons against stand-ins, and kills, freezes and cuts them off. */
package org.arbutusstack.testkit.process;
