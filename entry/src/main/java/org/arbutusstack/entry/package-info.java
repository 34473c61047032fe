/** The entry: the process between callers, operators and sides. */
package org.arbutusstack.entry;
