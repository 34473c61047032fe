/** Plans, which assign models to runners. */
package org.arbutusstack.model.plan;
