import type { RequestKind } from "./RequestKind.js";

/** A single-statement request that an entry sends to the gateway owning an endpoint. */
export interface EndpointRequest {
    readonly requestId: string;
    readonly database: string;
    /** Name of the endpoint that shall run it. */
    readonly endpoint: string;
    readonly kind: RequestKind;
    /** Opaque to the proxy. */
    readonly statement: unknown;
    /** The term that the entry routed under. */
    readonly term: number;
    /** The endpoint must have applied at least this position. */
    readonly leastPosition: number;
    /** How long the endpoint may wait for `leastPosition` before it answers `Behind`. */
    readonly waitMilliseconds: number;
    /** Makes a write idempotent. */
    readonly requestKey?: string;
    /** True for a read that accepts an age; it waits behind all other work. */
    readonly isAgedRead?: boolean;
    /** Name of the caller, for fair queueing. */
    readonly caller: string;
    readonly timeLeftMilliseconds: number;
}
