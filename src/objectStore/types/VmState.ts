/** State of a VM in the platform's list. */
export enum VmState {
    Live = "Live",
    Leaving = "Leaving",
}
