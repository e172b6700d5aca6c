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
    /** Limits in force where no patch sets them. */
    defaultLimits,
    /** Largest patch that is accepted. */
    maximumPatchBytes: 1_000_000,
    /** Deepest nesting of objects and lists in a patch. */
    maximumPatchDepth: 32,
    /** Characters of JSON text in one part of a snapshot; a part stays below 1 MB after escaping. */
    snapshotPartCharacters: 300_000,
    versionsPerSnapshot: 64,
    /** Snapshots looked for backwards when an old version is asked for. */
    maximumSnapshotSteps: 64,
    /** Versions whose records a process keeps for its peers. */
    keptRecords: 256,
    /** Bytes of patches that a process keeps for its peers. */
    keptRecordBytes: 8_000_000,
    /** Patch ids remembered for telling a repeated patch. */
    keptPatchIds: 1_024,
    /** Records received ahead of a missing version. */
    maximumEarlyRecords: 256,
    versionDigits: 12,
    relaysPerZone: 3,
    /** Slots among which dissemination keeps the last versions. */
    disseminationSlots: 64,
    /** A larger announcement goes without the patch, which is then pulled once by each gateway. */
    maximumDisseminatedBytes: 1_024,
    /** Rounds of asking peers for missing versions before the store is read once. */
    repairRoundsPerStoreRead: 6,
    /** Time between two reads of the store by a relay whose watch shows nothing. */
    relayReadMilliseconds: 5_000,
    /** First and longest pause after a failure. */
    firstRetryMilliseconds: 100,
    longestRetryMilliseconds: 5_000,
    /** How long a start waits for a configuration before it goes on with none. */
    startTimeoutMilliseconds: 5_000,
    /** Spread of the first reads of the store over starting gateways. */
    startJitterMilliseconds: 500,
    /** How long an entry is fed by another gateway before it tries its local one again. */
    otherGatewayMilliseconds: 30_000,
    /** Peers asked for missing versions before the store is read. */
    maximumPeersAsked: 4,
    /** Time allowed for one peer to send what is missing. */
    pullTimeoutMilliseconds: 3_000,
    /** How long a patch tries to learn its true outcome. */
    submitTimeoutMilliseconds: 10_000,
    /** Entries named in one line of the history. */
    maximumSummaryKeys: 10,
    /** Versions in one answer to a question for history. */
    historyLength: 100,
} as const;
