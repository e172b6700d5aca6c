/** How many requests a process may have under way, found by probing. */
export interface AdaptiveLimit {
    /** Takes one place; false when all are taken. */
    tryEnter(): boolean;
    /** Gives the place back and learns from how the request ended. */
    leave(wasRefused: boolean): void;
    /** Places at present. */
    limit(): number;
    underWay(): number;
}
