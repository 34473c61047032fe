package org.arbutusstack.placement;

/** Tells how far a model or adapter on a runner is. */
public enum ResidencyState {
    /** Its load was ordered and not yet confirmed. */
    LOADING,
    /** It answers requests. */
    READY,
    /** The engine does not hold it now, but an order under way may still load it; its memory stays committed. */
    UNKNOWN,
    /** Its unload was ordered and not yet confirmed. */
    UNLOADING,
    /** It holds no memory; an unload under way may still arrive, so that it must not be loaded again yet. */
    UNLOADED
}
