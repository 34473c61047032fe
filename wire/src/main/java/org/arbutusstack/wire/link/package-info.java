/** Opens, takes and runs links between processes on one thread. */
package org.arbutusstack.wire.link;
