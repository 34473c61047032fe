/** Routes requests from callers to sides on one duty. */
package org.arbutusstack.entry.router;
