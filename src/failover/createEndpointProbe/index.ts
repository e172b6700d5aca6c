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
 * The task holds one control connection and reads the status over it. When the connection is lost or silent, a fresh
 * one is tried before the endpoint counts as refused or silent.
 *
 * @param definition The endpoint.
 * @param dependencies The endpoint driver and the clock.
 * @param options What to call after each observation.
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
    const { firstReconnectDelayMilliseconds, longestReconnectDelayMilliseconds } = failoverConstants;
    let isStopped = false;
    let interval: number = failoverConstants.replicaProbeIntervalMilliseconds;
    let current: EndpointConnection | undefined;
    let observation: EndpointObservation = {
        endpoint: definition.name,
        verdict: ProbeVerdict.Unknown,
        heardAt: -Infinity,
    };
    let pause = new AbortController();
    let settled: (() => void)[] = [];
    /** Number of the probe under way; a refresh waits for one that began after the call or the loss. */
    let round = 0;

    function observe(verdict: ProbeVerdict, status?: EndpointStatus): void {
        const { heardAt } = observation;
        observation = {
            endpoint: definition.name,
            verdict,
            status: status ?? observation.status,
            heardAt: status === undefined ? heardAt : clock.now(),
        };
        if (verdict !== ProbeVerdict.Lost) {
            const waiting = settled;
            settled = [];
            waiting.forEach(resolve => resolve());
        }
        options.onChange();
    }

    async function rest(milliseconds: number): Promise<void> {
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
        let isOver = false;
        void connection.closed.then(() => {
            isOver = true;
            pause.abort();
        });
        while (!isStopped && !isOver) {
            round += 1;
            const status = await connection.readStatus(timeoutMilliseconds);
            timeoutMilliseconds = failoverConstants.statusTimeoutMilliseconds;
            observe(ProbeVerdict.Alive, status);
            await rest(interval);
        }
    }

    async function openAndPoll(): Promise<void> {
        const deadline = clock.now() + failoverConstants.freshProbeTimeoutMilliseconds;
        current = await open();
        await pollUntilLost(current, Math.max(1, deadline - clock.now()));
    }

    async function run(): Promise<void> {
        let delay: number = firstReconnectDelayMilliseconds;
        while (!isStopped) {
            round += 1;
            const heardBefore = observation.heardAt;
            const openedAt = clock.now();
            const failure = await openAndPoll().then(() => undefined, (error: unknown) => error);
            current?.close();
            current = undefined;
            if (observation.heardAt !== heardBefore) {
                delay = firstReconnectDelayMilliseconds;
                observe(ProbeVerdict.Lost);
                if (clock.now() - openedAt < firstReconnectDelayMilliseconds) {
                    await rest(firstReconnectDelayMilliseconds);
                }
                continue;
            }
            observe(classifyProbeFailure(failure));
            await rest(delay);
            delay = Math.min(delay * 2, longestReconnectDelayMilliseconds);
        }
    }

    async function refresh(): Promise<EndpointObservation> {
        const awaitedRound = observation.verdict === ProbeVerdict.Lost ? round : round + 1;
        do {
            const settlement = new Promise<void>(resolve => settled.push(resolve));
            pause.abort();
            await settlement;
        }
        while (round < awaitedRound && !isStopped);
        return observation;
    }

    async function use<T>(call: (connection: EndpointConnection) => Promise<T>): Promise<T> {
        if (current !== undefined) {
            return await call(current);
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
        current?.close();
        settled.forEach(resolve => resolve());
        await task;
    }

    const task = run();
    return {
        definition,
        observation: () => observation,
        use,
        refresh,
        setInterval: milliseconds => {
            interval = milliseconds;
        },
        stop,
    };
}
