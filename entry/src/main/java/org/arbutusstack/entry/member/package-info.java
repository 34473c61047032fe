/** Membership: the host list and the links to other entries. */
package org.arbutusstack.entry.member;
