/** The holder of the failover duty before this VM. */
export enum Predecessor {
    /** No other VM can have been the holder since this VM was, or ever. */
    None = "None",
    /** An earlier process of this VM, which had ended when this one started. */
    OwnFormerProcess = "OwnFormerProcess",
    /** A VM that handed the duty over after the end of each of its orders was known; it may still have granted leases. */
    HandedOver = "HandedOver",
    /** Any VM, which may still have granted leases and orders under way. */
    Unknown = "Unknown",
}
