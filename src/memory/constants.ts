/** Constants of the memory budget of callers' connections. */
export const memoryConstants = {
    /** Bytes in a mebibyte. */
    bytesPerMegabyte: 1_048_576,
    /** Memory limit of a machine that does not tell its own, and the range of such limits, in megabytes. */
    defaultMegabytes: 350,
    leastMegabytes: 64,
    mostMegabytes: 1_048_576,
    /** Callers' share of the memory that the program does not need itself, and its range. */
    defaultCallerShare: 0.1,
    leastCallerShare: 0.02,
    mostCallerShare: 0.5,
    /** Bytes of accepted commands with which a connection is no longer read, and their range. */
    defaultConnectionBytes: 524_288,
    leastConnectionBytes: 65_536,
    mostConnectionBytes: 8_388_608,
    /** Memory that the program needs without what callers send, in megabytes. */
    ownMegabytes: 150,
    /** Least and most bytes of the budget that follows from the machine's limit. */
    leastTotalBytes: 8_388_608,
    mostTotalBytes: 67_108_864,
    /** Share of the total that accepted commands may hold; with more, connections that hold much are not read. */
    shortageShare: 0.5,
    /** Share of the total below which a shortage is over. */
    recoveryShare: 0.375,
    /** Most bytes that a connection may hold and still be read in a shortage. */
    smallBytes: 4_096,
    /** Memory of a command beside its text, in bytes. */
    commandOverheadBytes: 512,
    /** Most commands of one connection that are accepted and unanswered. */
    maximumCommands: 8,
    /** Most of them with which reading begins again. */
    resumeCommands: 4,
    /** Bytes that may arrive on a connection after reading was paused. */
    pausedReadBytes: 65_536,
    /** Memory of a kept value or prepared statement beside its text, in bytes. */
    keptOverheadBytes: 256,
    /** Share of the memory that the program does not need itself for what sessions keep, and its least and most bytes. */
    stateShare: 0.25,
    leastStateBytes: 8_388_608,
    mostStateBytes: 67_108_864,
    /** Share of the machine's memory above which garbage is collected. */
    guardShare: 0.75,
    /** Received bytes between two looks at the memory, and its growth after which garbage is collected again. */
    guardIntervalBytes: 2_097_152,
    guardGrowthBytes: 8_388_608,
    /** Least time between two log lines on refused connections, in milliseconds. */
    logIntervalMilliseconds: 1_000,
} as const;
