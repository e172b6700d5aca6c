/** Constants of the duty to change primaries. */
export const dutyConstants = {
    /** Name of the object in the platform's store that names the holder. */
    recordName: "failover",
    /** How often each VM speaks with the holder, in milliseconds. */
    renewalMilliseconds: 300,
    /** Pause after the holder did not answer, in milliseconds. */
    renewalRetryMilliseconds: 60,
    /** Time limit of a call to another VM, in milliseconds. */
    callMilliseconds: 400,
    /** Failed renewals in a row after which a VM tries to become the holder. */
    failedRenewals: 3,
    /** Another VM that heard the holder this recently speaks for it, in milliseconds. */
    hearsayMilliseconds: 900,
    /** Order of the attempts to become the holder: each VM waits its rank times this, in milliseconds. */
    rankMilliseconds: 60,
    /** VMs that start together spread their first attempts over this time, in milliseconds. */
    startSpreadMilliseconds: 400,
    /** Pause after a failed attempt, in milliseconds. */
    retryMilliseconds: 400,
    /** A VM relies on what the holder told for this long after it asked, in milliseconds. */
    leaseMilliseconds: 1_000,
    /** The holder is sure to be it for this long after the store said so, in milliseconds. */
    certaintyMilliseconds: 1_800,
    /** The holder is sure, too, while every VM that it knows spoke with it this recently, in milliseconds. */
    attendanceMilliseconds: 900,
    /** A VM that was not heard for this long is not listed any more, in milliseconds. */
    forgetMilliseconds: 10_000,
    /** After this time it is taken as gone for good, in milliseconds. */
    departureMilliseconds: 60_000,
    /** Announcements that one holder numbers before the next token's numbers begin. */
    announcementsPerToken: 1_000_000,
    /** The holder makes sure this often that it still is, in milliseconds. */
    verificationMilliseconds: 600,
    /** Shared by the VMs of one installation; the platform's private network is what keeps others out. */
    peerSecret: "tarragonpost between virtual machines",
} as const;
