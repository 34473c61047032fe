/** Follows the host list. */
package org.arbutusstack.entry.member;
