/** The holder of the failover duty before this VM. */
export enum Predecessor {
    /** No other VM can have been the holder since this VM was, or ever. */
    None = "None",
    /** An earlier process of this VM, which had ended when this one started. */
    OwnFormerProcess = "OwnFormerProcess",
    /** Any VM, which may still have granted leases and orders under way. */
    Unknown = "Unknown",
}
