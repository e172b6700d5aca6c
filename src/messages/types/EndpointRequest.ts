import type { RequestKind } from "./RequestKind.js";

/** A single-statement request that an entry sends to the gateway owning an endpoint. */
export interface EndpointRequest {
    readonly requestId: string;
    readonly database: string;
    /** Name of the endpoint that is to run the statement. */
    readonly endpoint: string;
    readonly kind: RequestKind;
    /** Passed to the endpoint unchanged; not interpreted by the proxy. */
    readonly statement: unknown;
    /** The term that the entry routed the request under. */
    readonly term: number;
    /** The endpoint must have applied at least this position. */
    readonly leastPosition: number;
    /** How long the endpoint may wait for `leastPosition` before it answers `Behind`. */
    readonly waitMilliseconds: number;
    /** Makes a write idempotent. */
    readonly requestKey?: string;
    /** True for a bounded-staleness read, which waits behind all other work. */
    readonly isAgedRead?: boolean;
    /** Name of the caller, for fair queueing. */
    readonly caller: string;
    readonly timeLeftMilliseconds: number;
}
