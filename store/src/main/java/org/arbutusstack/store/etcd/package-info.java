/** Implementation of the key-value store over the published JSON gateway of etcd v3. */
package org.arbutusstack.store.etcd;
