/** Communication between the system's own processes: MessagePack frames over TCP links. */
package org.arbutusstack.wire;
