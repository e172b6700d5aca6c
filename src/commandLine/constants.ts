/** Constants of the command line. */
export const commandLineConstants = {
    defaultLogTopics: "tarragonpost:process",
} as const;
