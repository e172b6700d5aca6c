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
    /** Folders below `src` whose code decides. */
    decisionFolders: [
        "admission",
        "configuration",
        "confirmation",
        "connections",
        "dissemination",
        "execution",
        "failover",
        "freshness",
        "membership",
        "ownership",
        "requests",
        "routing",
        "session",
        "terms",
        "topology",
        "transactions",
        "waiting",
    ],
} as const;
