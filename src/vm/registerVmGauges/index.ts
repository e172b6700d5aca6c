import type { CallerSessions } from "../../callerSessions/types/CallerSessions.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { SessionHost } from "../../forwarding/types/SessionHost.js";
import type { Metrics } from "../../metrics/types/Metrics.js";

/** Services whose state the gauges read. */
interface GaugeSources {
    readonly sessions: Pick<CallerSessions, "count">;
    readonly sessionHost: Pick<SessionHost, "count">;
    readonly duty: Pick<Duty, "hasLease">;
}

/**
 * Registers the gauges of a VM: its open sessions, those that it serves for other VMs, and whether it holds a lease.
 *
 * @param metrics The metrics of the process.
 * @param sources Services whose state the gauges read.
 *
 * @example
 * registerVmGauges(metrics, { sessions, sessionHost, duty });
 */
export function registerVmGauges(metrics: Pick<Metrics, "registerGauge">, sources: GaugeSources): void {
    const { sessions, sessionHost, duty } = sources;
    metrics.registerGauge(
        "tarragonpost_hosted_sessions",
        "Open sessions of other VMs' callers.",
        sessionHost.count,
    );
    metrics.registerGauge("tarragonpost_sessions", "Open sessions.", sessions.count);
    metrics.registerGauge("tarragonpost_lease_held", "1 with a lease on the primaries.", () => duty.hasLease() ? 1 : 0);
}
