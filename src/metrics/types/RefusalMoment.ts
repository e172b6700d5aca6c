/** When a waiting statement was refused. */
export enum RefusalMoment {
    /** As soon as it was not expected to get a connection in time. */
    AtOnce = "AtOnce",
    /** At the end of the time that it may wait. */
    AtEnd = "AtEnd",
}
