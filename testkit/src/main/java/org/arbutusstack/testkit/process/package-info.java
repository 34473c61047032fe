/** Runs real daemons against stand-ins, and can kill, suspend and disconnect them. */
package org.arbutusstack.testkit.process;
