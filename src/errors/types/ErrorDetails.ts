/** Additional facts of an error, without secrets: they may be sent to peers and callers. */
export type ErrorDetails = Readonly<Record<string, string | number | boolean | undefined>>;
