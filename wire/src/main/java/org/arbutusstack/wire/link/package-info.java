/** Links between processes, which are opened, accepted and served by one thread. */
package org.arbutusstack.wire.link;
