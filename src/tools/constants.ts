/** Constants of the tools for continuous integration. */
export const toolConstants = {
    knownRedFile: "KNOWN-RED.txt",
    scenarioReportFile: ".run/scenarios.json",
    /** Test files run at the same time. */
    parallelTestFiles: 4,
    maximumFileLines: 300,
    /** Largest share of test code. */
    maximumTestShare: 1 / 3,
    /** Smallest share of code that decides: routing, limits, retries, membership, state, recovery. */
    minimumDecisionShare: 1 / 4,
    /** Where the names of the users' platform are known, and the list of them that is searched for. */
    platformFolders: ["src/platform/", "src/tools/findPlatformNames/"],
    /** Folders below `src` whose code decides. */
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
        "requests",
        "routing",
        "session",
        "terms",
        "topology",
        "transactions",
        "waiting",
    ],
} as const;
