import type { ReplicaStatus } from "../../statements/types/ReplicaStatus.js";
import { parsePosition } from "../parsePosition/index.js";
import { splitFields } from "../splitFields/index.js";

const fieldCount = 7;
/** A decimal number without a sign or an exponent. */
const countPattern = /^\d+(?:\.\d+)?$/;

/**
 * Decodes the row in which an endpoint reports its replication status: role, term, last position received, newest term
 * of a pause, lag in milliseconds, busy slots and connections.
 *
 * @param row The row.
 * @returns The status; undefined when the row is invalid.
 *
 * @example
 * decodeReplicaStatus("replica 3 3.1209 0 12 2 17")?.lagMilliseconds; // => 12
 */
export function decodeReplicaStatus(row: string): ReplicaStatus | undefined {
    const fields = splitFields(row, fieldCount + 1);
    const [role, term, position = "", heldTerm, lag, busy, connections] = fields;
    const received = parsePosition(position);
    const terms = [term, heldTerm];
    const counts = [lag, busy, connections];
    if (received === undefined || !terms.every(isWholeNumber) || !counts.every(isCount)) {
        return undefined;
    }
    return {
        isPrimary: role === "primary",
        term: Number(term),
        received,
        heldTerm: Number(heldTerm),
        lagMilliseconds: Number(lag),
        busySlots: Number(busy),
        connections: Number(connections),
    };
}

function isWholeNumber(text: string | undefined): boolean {
    return isCount(text) && Number.isSafeInteger(Number(text));
}

function isCount(text: string | undefined): boolean {
    return text !== undefined && countPattern.test(text) && Number.isFinite(Number(text));
}
