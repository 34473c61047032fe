/** Speaks to a key-value service by the published shape of the etcd v3 JSON gateway. */
package org.arbutusstack.store.etcd;
