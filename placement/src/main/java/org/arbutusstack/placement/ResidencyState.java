package org.arbutusstack.placement;

/** State of a model or adapter in the accelerator memory of a runner. */
public enum ResidencyState {
    /** Its load was ordered and is not yet confirmed. */
    LOADING,
    /** It is loaded and serves requests. */
    READY,
    /** The engine does not hold it, but an order in flight may still load it; its memory stays committed. */
    UNKNOWN,
    /** Its unload was ordered and is not yet confirmed. */
    UNLOADING,
    /** It takes no memory, but must not be loaded again yet, since an unload in flight could remove the new copy. */
    UNLOADED
}
