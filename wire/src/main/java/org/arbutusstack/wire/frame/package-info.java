/** Defines the frames that processes exchange and their MessagePack form. */
package org.arbutusstack.wire.frame;
