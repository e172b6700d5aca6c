import type { CallerSessions } from "../../callerSessions/types/CallerSessions.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { SessionHost } from "../../forwarding/types/SessionHost.js";
import type { ByteBudget } from "../../memory/types/ByteBudget.js";
import type { Metrics } from "../../metrics/types/Metrics.js";

/** Services whose state the gauges read. */
interface GaugeSources {
    readonly sessions: Pick<CallerSessions, "count">;
    readonly sessionHost: Pick<SessionHost, "count">;
    readonly budget: Pick<ByteBudget, "heldBytes" | "pausedCount" | "keptBytes">;
    readonly duty: Pick<Duty, "hasLease">;
}

/**
 * Registers the gauges of a VM: its open sessions, those that it serves for other VMs, the memory that callers hold, and whether it holds a lease.
 *
 * @param metrics The metrics of the process.
 * @param sources Services whose state the gauges read.
 *
 * @example
 * registerVmGauges(metrics, { sessions, sessionHost, budget, duty });
 */
export function registerVmGauges(metrics: Pick<Metrics, "registerGauge">, sources: GaugeSources): void {
    const { sessions, sessionHost, budget, duty } = sources;
    metrics.registerGauge(
        "tarragonpost_hosted_sessions",
        "Open sessions of other VMs' callers.",
        sessionHost.count,
    );
    metrics.registerGauge("tarragonpost_sessions", "Open sessions.", sessions.count);
    metrics.registerGauge(
        "tarragonpost_held_bytes",
        "Bytes that callers' connections hold: received, unanswered, or not taken.",
        budget.heldBytes,
    );
    metrics.registerGauge(
        "tarragonpost_kept_bytes",
        "Bytes of the values and prepared statements of all sessions.",
        budget.keptBytes,
    );
    metrics.registerGauge("tarragonpost_paused_connections", "Connections that are not read.", budget.pausedCount);
    metrics.registerGauge("tarragonpost_lease_held", "1 with a lease on the primaries.", () => duty.hasLease() ? 1 : 0);
}
