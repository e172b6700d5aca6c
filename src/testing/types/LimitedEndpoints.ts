import type { EndpointOpener } from "../../placement/types/EndpointOpener.js";

/** Endpoints that accept a limited number of connections and run a limited number of statements at once. */
export interface LimitedEndpoints {
    readonly open: EndpointOpener;
    /** Replaces the time that a statement takes from now on, in milliseconds. */
    setWorkMilliseconds(milliseconds: number): void;
    /** Number of attempts to open a connection that were refused because of the limit. */
    countRefused(): number;
    /** Number of connections to one endpoint that are open. */
    countOpen(endpointId: string): number;
}
