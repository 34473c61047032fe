/** Runs an entry: what stands between callers, operators and the sides. */
package org.arbutusstack.entry;
