/** Constants of the tools for continuous integration. */
export const toolConstants = {
    knownFailuresFile: "KNOWN-RED.txt",
    scenarioReportFile: ".run/scenarios.json",
    /** Tests that start processes of the program and bound what these use; run by themselves. */
    hostileCallersFolder: "src/hostileCallers/",
    /** Test files run at the same time. */
    parallelTestFiles: 4,
    maximumFileLines: 300,
    /** Upper bound of the share of test code. */
    maximumTestShare: 1 / 3,
    /** Smallest share of code with decision logic: routing, limits, retries, membership, state, recovery. */
    minimumDecisionShare: 1 / 4,
    /** The platform adapter and the check itself: the only folders that may use names of the users' platform. */
    platformFolders: ["src/platform/", "src/tools/findPlatformNames/"],
    /** Folders below `src` with decision logic. */
    decisionFolders: [
        "admission",
        "callerSessions",
        "configuration",
        "confirmation",
        "connections",
        "directory",
        "dissemination",
        "duty",
        "execution",
        "failover",
        "freshness",
        "membership",
        "ownership",
        "placement",
        "primaries",
        "promotions",
        "quotas",
        "requests",
        "routing",
        "session",
        "terms",
        "topology",
        "transactions",
        "waiting",
    ],
} as const;
