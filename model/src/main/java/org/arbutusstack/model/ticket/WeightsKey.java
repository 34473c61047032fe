package org.arbutusstack.model.ticket;

/**
 * Identifies the weights of a model or adapter in plans and on engines.
 *
 * @param name the name of the model or adapter
 * @param version the version of its weights
 */
public record WeightsKey(String name, String version) {

    private static final char SEPARATOR = '@';

    /**
     * Create the key of the weights of a model.
     *
     * @param model the model
     * @return the key of its present version
     */
    public static WeightsKey of(ModelSpec model) {
        return new WeightsKey(model.name(), model.version());
    }

    /**
     * Create the key of the weights of an adapter.
     *
     * @param adapter the adapter
     * @return the key of its present version
     */
    public static WeightsKey of(AdapterSpec adapter) {
        return new WeightsKey(adapter.name(), adapter.version());
    }

    /**
     * Parse a key.
     *
     * @param text name and version joined by an at sign
     * @return the key; without an at sign the version is empty
     */
    public static WeightsKey parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        return at < 0 ? new WeightsKey(text, "") : new WeightsKey(text.substring(0, at), text.substring(at + 1));
    }

    @Override
    public String toString() {
        return name + SEPARATOR + version;
    }
}
