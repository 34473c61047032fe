/** Versions of the software at which streams have begun, and at which alone they may go on. */
package org.arbutusstack.gateway.stream;
