/** Constants of the failover duty. */
export const dutyConstants = {
    /** Name of the object in the platform's store that records the holder. */
    recordName: "failover",
    /** Stands for the holder while the record cannot be read; no VM is named so. */
    unreadableHolderName: "",
    /** Revisions of the store that belong to one era, in fencing tokens. */
    revisionsPerEra: 2 ** 42,
    /** Lower than any number that a holder assigns. */
    noHolderNumber: { token: 0, count: 0 },
    /** Interval at which a host sends a renewal to the holder, in milliseconds; it needs a lease all the time. */
    renewalMilliseconds: 300,
    /** Interval at which any other VM sends a renewal to a relay, in milliseconds. */
    relayedRenewalMilliseconds: 1_000,
    /** Time without a renewal after which a relay no longer reports a VM to the holder, in milliseconds. */
    memberTimeoutMilliseconds: 2_500,
    /**
     * Time without an answer after which a VM that is not a host tries to become the holder, in milliseconds. It must
     * exceed the time for which the holder still counts the VM as in contact: the relay's timeout, the relay's next
     * renewal and `contactWithAllMilliseconds`.
     */
    relayedTakeoverMilliseconds: 5_000,
    /** Pause before the next renewal after the holder did not answer, in milliseconds. */
    renewalRetryMilliseconds: 60,
    /** Timeout of a call to another VM, in milliseconds. */
    callTimeoutMilliseconds: 400,
    /** Failed renewals in a row after which a host tries to become the holder. */
    maximumFailedRenewals: 3,
    /** Time since its last contact with the holder for which a VM reports the holder as alive, in milliseconds. */
    holderContactMilliseconds: 900,
    /** Delay that orders the attempts to become the holder: each VM waits its rank times this, in milliseconds. */
    rankDelayMilliseconds: 60,
    /** Upper bound of the random delay that spreads the first attempts of VMs started together, in milliseconds. */
    startSpreadMilliseconds: 100,
    /** Longest pause after an attempt to read the holder or to become it, in milliseconds. */
    retryMilliseconds: 400,
    /** Duration of a lease, from the moment before the renewal was sent, in milliseconds. */
    leaseMilliseconds: 1_000,
    /** Hosts that the holder asks at most to read its record while the store does not answer it. */
    maximumRecordReaders: 3,
    /**
     * Time after a takeover after which the last order to promote of the previous holder has taken effect, in milliseconds:
     * its verification, the order's longest way and the promotion together. If the previous holder was an earlier process
     * of this VM, the time starts with this process.
     */
    formerOrdersMilliseconds: 4_000,
    /** Time for which a verification of the holder in the store remains valid, in milliseconds. */
    verifiedMilliseconds: 1_800,
    /** The holder also counts as verified while every known VM had contact with it this recently, in milliseconds. */
    contactWithAllMilliseconds: 900,
    /** Time without contact after which a VM is no longer listed as alive, in milliseconds. */
    contactTimeoutMilliseconds: 10_000,
    /**
     * Time without contact to the holder after which a VM no longer verifies primaries by itself, in milliseconds: the
     * holder then no longer takes into account which endpoints that VM knows.
     */
    longestUnattendedMilliseconds: 60_000,
    /** Time without a report after which the holder takes a VM for unattended, in milliseconds. */
    forgottenMilliseconds: 65_000,
    /** Time without contact after which a VM is removed for good, in milliseconds. */
    removalMilliseconds: 60_000,
    /**
     * Time after a takeover after which a verification in the store shows that the list of VMs is complete, in
     * milliseconds: any VM that was alive and not in contact would have taken over by then.
     */
    completeListMilliseconds: 6_000,
    /** Interval at which the holder verifies itself in the store, in milliseconds. */
    verificationIntervalMilliseconds: 600,
    /** Shared by the VMs of one installation; access control relies on the platform's private network. */
    peerSecret: "tarragonpost between virtual machines",
} as const;
