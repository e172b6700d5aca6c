/** A VM of the model of quotas. Times are counted from now. */
interface GrantedVm {
    /** Operations that it may start until the end of its grant. */
    readonly held: number;
    /** Time until its grant ends, by the clock of the VM. */
    readonly left: number;
    /** The limit that the grant is a part of. */
    readonly limit: number;
    /** The newest demand, on its way to the holder: what the VM held when it was sent, and whether it had a grant. */
    readonly demand: { readonly held: number; readonly hasGrant: boolean; } | undefined;
    /** Time since the newest demand was sent, by the clock of the VM. */
    readonly age: number;
    /** The answer to the newest demand, on its way to the VM. */
    readonly answer: {
        readonly operations: number;
        /** Operations that the VM may hold at most. */
        readonly most: number;
        readonly isContinuation: boolean;
        readonly limit: number;
    } | undefined;
}

/** A state of the model of quotas: two VMs that start operations, and the record of the present holder. */
export interface QuotaGrantState {
    /** Most operations that may be started at once. */
    readonly limit: number;
    readonly vms: readonly GrantedVm[];
    readonly bucket: number;
    /** What each VM may hold of the grants of the holder, and the time until that has ended for sure. */
    readonly counted: readonly { readonly held: number; readonly left: number; }[];
    /** Time until the holder shares anew; before, it only goes on with grants of its predecessor. */
    readonly sharesIn: number;
    readonly hasChangedHolder: boolean;
    readonly isLowered: boolean;
    /** Time until a lower limit binds everywhere. */
    readonly bindsIn: number;
    /** Operations that a single token bucket would still admit; less than none is a violation. */
    readonly allowed: number;
}
