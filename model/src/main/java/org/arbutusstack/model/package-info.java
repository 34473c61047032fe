/**
 * The immutable data model that the processes of the system share.
 *
 * <p>Nothing here performs I/O; each feature has its own subpackage.
 */
package org.arbutusstack.model;
