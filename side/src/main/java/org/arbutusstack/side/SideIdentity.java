package org.arbutusstack.side;

import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.wire.frame.HelloFrame;

/**
 * Identity of a side.
 *
 * @param name the name of the host, which is also the name of its runner
 * @param service the service of its backend server
 * @param zone the availability zone
 * @param incarnation the unique name of this run of the process
 * @param backend the address of the backend server
 */
public record SideIdentity(String name, String service, String zone, String incarnation, HttpTarget backend) {

    HelloFrame hello() {
        return new HelloFrame(name, HostRole.SIDE, service, zone, incarnation);
    }
}
