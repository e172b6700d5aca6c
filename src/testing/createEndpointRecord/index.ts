import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";

/**
 * Creates an endpoint's record for tests.
 *
 * @param changes Fields that differ from those of a serving replica.
 * @returns The record.
 *
 * @example
 * createEndpointRecord({ id: "i-1", isPrimary: true });
 */
export function createEndpointRecord(changes: Partial<EndpointRecord> = {}): EndpointRecord {
    return {
        id: "i-1",
        group: "orders",
        address: { host: "127.0.0.1", port: 1, availabilityZone: "a" },
        slots: 3,
        isLeaving: false,
        isPrimary: false,
        warmingMilliseconds: 0,
        startedAt: 1,
        reportNumber: 1,
        era: 0,
        revision: 1,
        ...changes,
    };
}
