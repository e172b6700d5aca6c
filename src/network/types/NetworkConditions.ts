import type { Address } from "./Address.js";
import type { LinkConditions } from "./LinkConditions.js";

/**
 * The emulated network between processes of one machine.
 *
 * A production process uses `createUnemulatedNetwork`: no link is delayed, cut or silenced.
 */
export interface NetworkConditions {
    /** Conditions from one place to another; a place is an availability zone, or `zone/name` of one process. */
    linkBetween(from: string, to: string): LinkConditions;
    /** Calls the listener after each change; returns a function that ends the subscription. */
    onChange(listener: () => void): () => void;
    /** Adds to the count of bytes that this process sent on a link. */
    countBytes(from: string, to: string, bytes: number): void;
    /** Bytes sent so far, by `from>to`. */
    readonly bytesByLink: ReadonlyMap<string, number>;
    /** Availability zone of this process. */
    readonly localZone: string;
    /** One-way delay to the address, in milliseconds. */
    delayMillisecondsTo(address: Address): number;
}
