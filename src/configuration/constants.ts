import type { SystemLimits } from "./types/SystemLimits.js";

const defaultLimits: SystemLimits = {
    requestBytes: 1_048_576,
    defaultDeadlineMilliseconds: 5_000,
    replicaWaitMilliseconds: 50,
    queueLengthPerEndpoint: 200,
    retryBudgetShare: 0.1,
    ownerConnectionShare: 0.7,
    regionLinkBytesPerSecond: 2_000_000,
};

/** Constants of the configuration. */
export const configurationConstants = {
    /** Limits that apply where no patch sets another value. */
    defaultLimits,
    /** Maximum size of the text of a patch. */
    maximumPatchBytes: 1_000_000,
    /** Maximum nesting of objects and lists in a patch. */
    maximumPatchDepth: 32,
    /** Maximum characters of JSON text in one part of a snapshot; a part stays below 1 MB after escaping. */
    snapshotPartCharacters: 300_000,
    versionsPerSnapshot: 64,
    /** Snapshot versions looked up, from the newest backwards, before a document is rebuilt from version 0. */
    maximumSnapshotLookups: 64,
    /** Maximum number of version records that a process keeps in memory for its peers. */
    maximumKeptRecords: 256,
    /** Maximum bytes of patches that a process keeps in memory for its peers. */
    maximumKeptRecordBytes: 8_000_000,
    /** Maximum number of patch ids kept to recognize a repeated patch. */
    maximumKeptPatchIds: 1_024,
    /** Maximum number of records kept while a version before them is missing. */
    maximumBufferedRecords: 256,
    versionDigits: 12,
    /** Gateways of each availability zone that watch the store for new versions. */
    relaysPerZone: 3,
    /** Number of dissemination keys, and so of latest versions that dissemination keeps. */
    disseminationSlots: 64,
    /** Maximum size of an announcement with its record; the record of a larger one is pulled once by each gateway. */
    maximumDisseminatedBytes: 1_024,
    /** Attempts to pull missing versions from peers for each read of the store. */
    repairAttemptsPerStoreRead: 6,
    /** Mean interval at which a relay reads the store in addition to its watch. */
    relayReadIntervalMilliseconds: 5_000,
    /** Bounds of the backoff between retries. */
    initialRetryMilliseconds: 100,
    maximumRetryMilliseconds: 5_000,
    /** Maximum time that the start of a process waits for a configuration before it continues without one. */
    startTimeoutMilliseconds: 5_000,
    /** Maximum random delay before a starting gateway reads the store, to spread the load of a mass start. */
    maximumStartJitterMilliseconds: 500,
    /** Time after which an entry that subscribes to another gateway tries its local gateway again. */
    otherGatewayTimeoutMilliseconds: 30_000,
    /** Maximum number of peers queried for missing versions in one attempt. */
    maximumPeersQueried: 4,
    /** Time in which one peer must send the missing versions. */
    pullTimeoutMilliseconds: 3_000,
    /** Time during which a gateway retries to create the version of a patch or to find the outcome. */
    submitTimeoutMilliseconds: 10_000,
    /** Maximum number of entry names in one line of the history. */
    maximumSummaryKeys: 10,
    /** Maximum number of versions in one answer to a query of the history. */
    historyLength: 100,
} as const;
