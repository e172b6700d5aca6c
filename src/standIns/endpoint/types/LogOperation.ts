/** One change of data within a log entry. */
export type LogOperation =
    | { readonly register: string; readonly value: unknown; }
    | { readonly list: string; readonly value: unknown; };
