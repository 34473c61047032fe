package org.arbutusstack.kernel.service;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Keeps services in a map in the order of their registration.
 *
 * <p>Safe for use by any thread.
 *
 * @see ServiceRegistry
 */
public final class DefaultServiceRegistry implements ServiceRegistry {

    private final Map<String, Service> servicesByName = new LinkedHashMap<>();

    @Override
    public synchronized void register(Service service) {
        Assert.notNull(service, "service");
        String name = Assert.hasText(service.name(), "service.name");
        if (servicesByName.putIfAbsent(name, service) != null) {
            throw new ServiceException("Could not register service '" + name + "': the name is taken");
        }
    }

    @Override
    public synchronized <T> T lookup(String name, Class<T> type) {
        Service service = servicesByName.get(name);
        if (service == null) {
            throw new ServiceException("Could not find service '" + name + "': known are " + servicesByName.keySet());
        }
        if (!type.isInstance(service)) {
            throw new ServiceException("Could not find service '" + name + "': it is no " + type.getName());
        }
        return type.cast(service);
    }

    @Override
    public synchronized List<Service> services() {
        return new ArrayList<>(servicesByName.values());
    }
}
