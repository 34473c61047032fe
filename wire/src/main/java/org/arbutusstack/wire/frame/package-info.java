/** Frames that processes exchange, and their encoding in MessagePack. */
package org.arbutusstack.wire.frame;
