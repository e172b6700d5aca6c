import type { EndpointOpener } from "../../placement/types/EndpointOpener.js";

/** Endpoints that accept a limited number of connections and run a limited number of statements at once. */
export interface LimitedEndpoints {
    readonly open: EndpointOpener;
    /** Number of attempts to open a connection that were refused because of the limit. */
    countRefused(): number;
}
