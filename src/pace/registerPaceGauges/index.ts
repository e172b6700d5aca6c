import type { Metrics } from "../../metrics/types/Metrics.js";
import type { PacedEndpoint } from "../types/PacedEndpoint.js";

/** Reads one value of the pace of all endpoints. */
type PaceReader = (states: readonly PacedEndpoint[]) => number;

const gauges: readonly { readonly name: string; readonly description: string; readonly read: PaceReader; }[] = [
    {
        name: "tarragonpost_pace_limited_endpoints",
        description: "Endpoints whose pace is limited.",
        read: states => states.filter(({ pace }) => pace.isLimited()).length,
    },
    {
        name: "tarragonpost_pace_limit",
        description: "Sum of the limits that are in force, in statements.",
        read: states => sum(states.filter(({ pace }) => pace.isLimited()).map(({ pace }) => pace.limit())),
    },
    {
        name: "tarragonpost_pace_in_use",
        description: "Statements that count towards the limits of endpoints.",
        read: states => sum(states.map(({ pace }) => pace.inUse())),
    },
    {
        name: "tarragonpost_set_aside_endpoints",
        description: "Endpoints that are set aside.",
        read: states => states.filter(({ health }) => health.isSetAside()).length,
    },
];

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/**
 * Registers the gauges of the pace of endpoints.
 *
 * @param metrics The process's metrics.
 * @param listStates Returns what is known of the endpoints that have a record.
 * @param countProbes Returns the number of probes since the start.
 *
 * @example
 * registerPaceGauges(metrics, () => [...states.values()], () => probes);
 */
export function registerPaceGauges(
    metrics: Pick<Metrics, "registerGauge">,
    listStates: () => readonly PacedEndpoint[],
    countProbes: () => number,
): void {
    for (const { name, description, read } of gauges) {
        metrics.registerGauge(name, description, () => read(listStates()));
    }
    metrics.registerGauge("tarragonpost_pace_probes", "Probes of endpoints since the start.", countProbes);
}
