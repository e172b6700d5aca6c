/** Tells that statements of a group need not wait any longer because of a limit. */
export interface FreeSignal {
    /** Expects a limit to allow a statement of a group after a time in milliseconds; infinite if another has to end first. */
    expect(group: string, milliseconds: number): void;
    /** Ends the wait of a group now, if one was expected. */
    notify(group: string): void;
}
