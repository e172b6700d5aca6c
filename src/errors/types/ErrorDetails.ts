/** Further facts of an error, safe to send to a peer or a caller. */
export type ErrorDetails = Readonly<Record<string, string | number | boolean | undefined>>;
