package org.arbutusstack.kernel.service;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * {@link ServiceRegistry} that keeps the services in a map in the order of their registration.
 *
 * <p>Thread-safe.
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
            throw new ServiceException("Could not register service '" + name + "': the name is already registered");
        }
    }

    @Override
    public synchronized <T> T lookup(String name, Class<T> type) {
        Service service = servicesByName.get(name);
        if (service == null) {
            throw new ServiceException(
                    "Could not find service '" + name + "': registered services are " + servicesByName.keySet());
        }
        if (!type.isInstance(service)) {
            throw new ServiceException(
                    "Could not find service '" + name + "': it is not an instance of " + type.getName());
        }
        return type.cast(service);
    }

    @Override
    public synchronized List<Service> services() {
        return new ArrayList<>(servicesByName.values());
    }
}
