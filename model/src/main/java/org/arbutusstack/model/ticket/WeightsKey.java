package org.arbutusstack.model.ticket;

/**
 * Names the weights of a model or adapter, as engines and plans know them.
 *
 * @param name the name of the model or adapter
 * @param version the version of its weights
 */
public record WeightsKey(String name, String version) {

    private static final char SEPARATOR = '@';

    /**
     * Names the weights of a model.
     *
     * @param model the model
     * @return its key
     */
    public static WeightsKey of(ModelSpec model) {
        return new WeightsKey(model.name(), model.version());
    }

    /**
     * Names the weights of an adapter.
     *
     * @param adapter the adapter
     * @return its key
     */
    public static WeightsKey of(AdapterSpec adapter) {
        return new WeightsKey(adapter.name(), adapter.version());
    }

    /**
     * Reads a key.
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
