/** Writes one log line: a message and its fields. */
export type LogTopic = (message: string, fields?: Readonly<Record<string, unknown>>) => void;
