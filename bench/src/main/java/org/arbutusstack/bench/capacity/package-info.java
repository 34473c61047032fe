/** Works out from measured slopes what each role uses at the size to design for. */
package org.arbutusstack.bench.capacity;
