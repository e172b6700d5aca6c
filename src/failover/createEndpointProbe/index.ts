import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { classifyProbeFailure } from "../classifyProbeFailure/index.js";
import { failoverConstants } from "../constants.js";
import type { EndpointObservation } from "../types/EndpointObservation.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/** Options of `createEndpointProbe`. */
interface EndpointProbeOptions {
    /** Called after each observation. */
    readonly onChange: () => void;
}

/**
 * Creates the probe of one endpoint and starts its task.
 *
 * The task holds one control connection and reads the status over it. When the connection is lost or unresponsive, a
 * fresh one is tried before the verdict becomes `Refused` or `Silent`.
 *
 * @param definition The endpoint.
 * @param dependencies The endpoint driver and the clock.
 * @param options Callback after each observation.
 * @returns The probe, running.
 *
 * @example
 * const probe = createEndpointProbe(definition, { driver, clock }, { onChange: wake });
 */
export function createEndpointProbe(
    definition: EndpointDefinition,
    dependencies: Pick<FailoverDependencies, "driver" | "clock">,
    options: EndpointProbeOptions,
): EndpointProbe {
    const { driver, clock } = dependencies;
    const {
        initialReconnectDelayMilliseconds,
        maximumReconnectDelayMilliseconds,
    } = failoverConstants;
    let isStopped = false;
    let intervalMilliseconds: number = failoverConstants.replicaProbeIntervalMilliseconds;
    let controlConnection: EndpointConnection | undefined;
    let observation: EndpointObservation = {
        endpoint: definition.name,
        verdict: ProbeVerdict.Unknown,
        heardAt: -Infinity,
    };
    let pause = new AbortController();
    let refreshWaiters: (() => void)[] = [];
    /** Number of the probe in flight; a refresh waits for one that began after the call or the connection's loss. */
    let probeNumber = 0;

    function recordObservation(verdict: ProbeVerdict, status?: EndpointStatus): void {
        const { heardAt } = observation;
        observation = {
            endpoint: definition.name,
            verdict,
            status: status ?? observation.status,
            heardAt: status === undefined ? heardAt : clock.now(),
        };
        if (verdict !== ProbeVerdict.Lost) {
            const waiting = refreshWaiters;
            refreshWaiters = [];
            waiting.forEach(resolve => resolve());
        }
        options.onChange();
    }

    async function pauseFor(milliseconds: number): Promise<void> {
        pause = new AbortController();
        if (!isStopped) {
            await clock.sleep(milliseconds, pause.signal);
        }
    }

    function open(): Promise<EndpointConnection> {
        return driver.connect(definition.name, definition, failoverConstants.connectTimeoutMilliseconds);
    }

    async function pollUntilLost(connection: EndpointConnection, firstTimeoutMilliseconds: number): Promise<void> {
        let timeoutMilliseconds = firstTimeoutMilliseconds;
        let isClosed = false;
        void connection.closed.then(() => {
            isClosed = true;
            pause.abort();
        });
        while (!isStopped && !isClosed) {
            probeNumber += 1;
            const status = await connection.readStatus(timeoutMilliseconds);
            timeoutMilliseconds = failoverConstants.statusTimeoutMilliseconds;
            recordObservation(ProbeVerdict.Alive, status);
            await pauseFor(intervalMilliseconds);
        }
    }

    async function openAndPoll(): Promise<void> {
        const deadline = clock.now() + failoverConstants.freshProbeTimeoutMilliseconds;
        controlConnection = await open();
        await pollUntilLost(controlConnection, Math.max(1, deadline - clock.now()));
    }

    async function runProbeLoop(): Promise<void> {
        let delay: number = initialReconnectDelayMilliseconds;
        while (!isStopped) {
            probeNumber += 1;
            const previousStatusAt = observation.heardAt;
            const openedAt = clock.now();
            const failure = await openAndPoll().then(() => undefined, (error: unknown) => error);
            controlConnection?.close();
            controlConnection = undefined;
            if (observation.heardAt !== previousStatusAt) {
                delay = initialReconnectDelayMilliseconds;
                recordObservation(ProbeVerdict.Lost);
                if (clock.now() - openedAt < initialReconnectDelayMilliseconds) {
                    await pauseFor(initialReconnectDelayMilliseconds);
                }
                continue;
            }
            recordObservation(classifyProbeFailure(failure));
            await pauseFor(delay);
            delay = Math.min(delay * 2, maximumReconnectDelayMilliseconds);
        }
    }

    async function refresh(): Promise<EndpointObservation> {
        const awaitedProbeNumber = observation.verdict === ProbeVerdict.Lost ? probeNumber : probeNumber + 1;
        do {
            const completion = new Promise<void>(resolve => refreshWaiters.push(resolve));
            pause.abort();
            await completion;
        }
        while (probeNumber < awaitedProbeNumber && !isStopped);
        return observation;
    }

    async function withConnection<T>(call: (connection: EndpointConnection) => Promise<T>): Promise<T> {
        if (controlConnection !== undefined) {
            return await call(controlConnection);
        }
        const fresh = await open();
        try {
            return await call(fresh);
        }
        finally {
            fresh.close();
        }
    }

    async function stop(): Promise<void> {
        isStopped = true;
        pause.abort();
        controlConnection?.close();
        refreshWaiters.forEach(resolve => resolve());
        await task;
    }

    const task = runProbeLoop();
    return {
        definition,
        observation: () => observation,
        withConnection,
        refresh,
        setProbeInterval: milliseconds => {
            intervalMilliseconds = milliseconds;
        },
        stop,
    };
}
