import { callerSessionConstants } from "../../callerSessions/constants.js";
import { createConnectionAdmission } from "../../callerSessions/createConnectionAdmission/index.js";
import type { CallerSessions } from "../../callerSessions/types/CallerSessions.js";
import { ConnectionLoss } from "../../callerSessions/types/ConnectionLoss.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { listenForCallers } from "../../platform/listenForCallers/index.js";
import { serveReadiness } from "../../platform/serveReadiness/index.js";
import type { Departure } from "../../promotions/types/Departure.js";
import type { VmSettings } from "../types/VmSettings.js";

/** Options of `createVmServer`. */
interface VmServerOptions {
    readonly settings: VmSettings;
    readonly sessions: CallerSessions;
    readonly directory: Directory;
    readonly departure: Pick<Departure, "begin" | "finish">;
    readonly clock: Pick<Clock, "now">;
    readonly metrics: Pick<Metrics, "countConnectionLoss">;
    readonly log: LogTopic;
}

/** Servers of a VM: the caller server and the answer to the platform's readiness probe. */
interface VmServer {
    start(): Promise<void>;
    stop(): Promise<void>;
    describeWork(): readonly string[];
}

/**
 * Creates the caller server and the readiness probe of a VM. The VM is ready for new connections once routes and
 * endpoints are known, and until it is stopped.
 *
 * @param options Settings, sessions, directory, departure from the failover duty, clock, metrics and log.
 * @returns The server, not listening yet.
 *
 * @example
 * await createVmServer({ settings, sessions, directory, departure, clock, metrics, log }).start();
 */
export function createVmServer(options: VmServerOptions): VmServer {
    const { settings, sessions, directory, departure, clock, metrics, log } = options;
    const stopFunctions: (() => void)[] = [];
    let isStopping = false;
    let wasReady = false;

    function isReady(): boolean {
        const ready = !isStopping && directory.routingVersion() > 0 && directory.groups().length > 0;
        if (ready !== wasReady) {
            log("readiness has changed", {
                isReady: ready,
                version: directory.routingVersion(),
                groups: directory.groups().length,
            });
            wasReady = ready;
        }
        return ready;
    }

    async function start(): Promise<void> {
        const { maximumDescriptors, progressMilliseconds } = settings.callerLimits;
        const listener = await listenForCallers(settings.callerAddress, sessions.serve, {
            admission: createConnectionAdmission({
                maximumConnections: maximumDescriptors - callerSessionConstants.reservedDescriptors,
                idleMilliseconds: progressMilliseconds,
                clock,
                metrics,
                log,
            }),
            progressMilliseconds,
            onStalled: () => metrics.countConnectionLoss(ConnectionLoss.Stalled),
        });
        const readiness = await serveReadiness(settings.readinessAddress, isReady);
        stopFunctions.push(listener.stop, readiness.stop);
    }

    async function stop(): Promise<void> {
        isStopping = true;
        departure.begin();
        // Callers connect until the process ends, so the sessions are looked after until all other work is done.
        await sessions.closeAll(departure.finish());
        stopFunctions.forEach(stopServer => stopServer());
    }

    return { start, stop, describeWork: sessions.describeWork };
}
