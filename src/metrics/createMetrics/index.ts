import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { metricsConstants } from "../constants.js";
import type { Metrics } from "../types/Metrics.js";

const success = "Success";

/**
 * Creates the metrics of one process.
 *
 * @returns The metrics, all zero.
 *
 * @example
 * metrics.countStatement(route.guarantee, 28, FailureCode.Busy);
 */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const registers = [registry];
    const statements = new Counter({
        name: "tarragonpost_statements_total",
        help: "Statements answered, by guarantee and outcome.",
        labelNames: ["guarantee", "outcome"],
        registers,
    });
    const latency = new Histogram({
        name: "tarragonpost_statement_seconds",
        help: "Time from a statement's arrival to its answer.",
        labelNames: ["guarantee"],
        buckets: [...metricsConstants.latencyBuckets],
        registers,
    });
    const retries = new Counter({
        name: "tarragonpost_retries_total",
        help: "Attempts that did not settle a statement, by reason.",
        labelNames: ["reason"],
        registers,
    });
    const acquisitionTimeouts = new Counter({
        name: "tarragonpost_unplaced_total",
        help: "Statements that found no connection in time.",
        registers,
    });
    const waitRefusals = new Counter({
        name: "tarragonpost_wait_refusals_total",
        help: "Statements refused while they waited for a connection, by moment and priority.",
        labelNames: ["moment", "priority"],
        registers,
    });
    const connections = new Counter({
        name: "tarragonpost_connections_total",
        help: "Connections to endpoints that were opened or failed to be, by outcome.",
        labelNames: ["outcome"],
        registers,
    });
    const openings = new Counter({
        name: "tarragonpost_openings_total",
        help: "Connections to endpoints that were opened, by class of the owner and by reason.",
        labelNames: ["owner", "reason"],
        registers,
    });
    const evictions = new Counter({
        name: "tarragonpost_evictions_total",
        help: "Idle connections closed to make room for another owner, by class of their owner.",
        labelNames: ["owner"],
        registers,
    });
    const openingWaits = new Counter({
        name: "tarragonpost_opening_waits_total",
        help: "Statements that waited for the first connection of their owner, by class of the owner.",
        labelNames: ["owner"],
        registers,
    });
    const storeFailures = new Counter({
        name: "tarragonpost_store_failures_total",
        help: "Calls to the platform's store that failed.",
        registers,
    });
    const storeRestores = new Counter({
        name: "tarragonpost_store_restores_total",
        help: "Times that a feed found the platform's store restored from a copy.",
        registers,
    });
    const primaryChanges = new Counter({
        name: "tarragonpost_primary_changes_total",
        help: "Changes of a primary made by this VM, by outcome.",
        labelNames: ["outcome"],
        registers,
    });
    const primaryVerifications = new Counter({
        name: "tarragonpost_confirmations_total",
        help: "Primaries asked for at the other endpoints for want of a lease, by outcome.",
        labelNames: ["outcome"],
        registers,
    });

    const memoryRefusals = new Counter({
        name: "tarragonpost_memory_refusals_total",
        help: "Connections refused because callers hold too many bytes.",
        registers,
    });
    const stateRefusals = new Counter({
        name: "tarragonpost_state_refusals_total",
        help: "Values and prepared statements refused because sessions keep too many bytes, by reason.",
        labelNames: ["reason"],
        registers,
    });
    const connectionLosses = new Counter({
        name: "tarragonpost_connection_losses_total",
        help: "Callers' connections that this process refused or closed, by reason.",
        labelNames: ["reason"],
        registers,
    });
    const longAnswers = new Counter({
        name: "tarragonpost_long_answers_total",
        help: "Connections to endpoints closed because their answers are too long.",
        registers,
    });
    const readPauses = new Counter({
        name: "tarragonpost_read_pauses_total",
        help: "Times that a caller's connection was no longer read, until commands are answered.",
        registers,
    });
    const quotaDecisions = new Counter({
        name: "tarragonpost_quota_decisions_total",
        help: "Operations of workspaces with a quota, by decision.",
        labelNames: ["outcome"],
        registers,
    });
    const quotaGrants = new Counter({
        name: "tarragonpost_quota_grants_total",
        help: "Parts of quotas that this VM granted as the holder of the failover duty.",
        registers,
    });

    return {
        countStatement: (guarantee, milliseconds, code) => {
            statements.inc({ guarantee, outcome: code ?? success });
            latency.observe({ guarantee }, milliseconds / metricsConstants.millisecondsPerSecond);
        },
        countRetry: code => retries.inc({ reason: code ?? "Unknown" }),
        countAcquisitionTimeout: () => acquisitionTimeouts.inc(),
        countWaitRefusal: (moment, priority) => waitRefusals.inc({ moment, priority }),
        countConnection: failure => connections.inc({ outcome: failure ?? success }),
        countOpening: (owner, reason) => openings.inc({ owner, reason }),
        countEviction: evictedOwner => evictions.inc({ owner: evictedOwner }),
        countOpeningWait: owner => openingWaits.inc({ owner }),
        countStoreFailure: () => storeFailures.inc(),
        countStoreRestore: () => storeRestores.inc(),
        countPrimaryChange: isSuccessful => primaryChanges.inc({ outcome: isSuccessful ? success : "Failure" }),
        countPrimaryVerification: isVerified =>
            primaryVerifications.inc({ outcome: isVerified ? "Confirmed" : "Unconfirmed" }),
        countMemoryRefusal: () => memoryRefusals.inc(),
        countStateRefusal: reason => stateRefusals.inc({ reason }),
        countConnectionLoss: reason => connectionLosses.inc({ reason }),
        countLongAnswer: () => longAnswers.inc(),
        countReadPause: () => readPauses.inc(),
        countQuotaDecision: outcome => quotaDecisions.inc({ outcome }),
        countQuotaGrants: count => quotaGrants.inc(count),
        registerGauge: (
            name: string,
            description: string,
            read: () => number | ReadonlyMap<string | number, number>,
            label?: string,
        ) => {
            const gauge: Gauge = new Gauge({
                name,
                help: description,
                labelNames: label === undefined ? [] : [label],
                registers,
                collect: () => {
                    const values = read();
                    if (typeof values === "number") {
                        gauge.set(values);
                        return;
                    }
                    gauge.reset();
                    values.forEach((value, key) => gauge.set({ [label!]: key }, value));
                },
            });
        },
        render: () => registry.metrics(),
    };
}
