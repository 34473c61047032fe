/**
 * Holds the immutable data that the processes of the system share.
 *
 * <p>Nothing here does I/O; each feature has a package of its own below this one.
 */
package org.arbutusstack.model;
