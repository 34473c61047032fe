/** Describes hosts and where they stand. */
package org.arbutusstack.model.host;
