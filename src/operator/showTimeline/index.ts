import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { compareEvents } from "../../events/compareEvents/index.js";
import { formatEvent } from "../../events/formatEvent/index.js";
import type { EventFilter } from "../../events/types/EventFilter.js";
import type { TimelineEvent } from "../../events/types/TimelineEvent.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { iterateSubscription } from "../../transport/iterateSubscription/index.js";
import { operatorConstants } from "../constants.js";
import { parseVersion } from "../parseVersion/index.js";
import { surveyFleet } from "../surveyFleet/index.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Prints the events of all processes as one time line, in the order of their hybrid logical timestamps.
 *
 * @param session The session with the gateways.
 * @param _words Not used.
 * @param options `request`, `database` and `versionNumber` select events; `follow` goes on until it is interrupted.
 * @returns Success.
 *
 * @example
 * await showTimeline(session, [], { database: "stock", follow: true });
 */
export async function showTimeline(
    session: OperatorSession,
    _words: readonly string[],
    options: OperatorOptions,
): Promise<ExitCode> {
    const { gateways } = await surveyFleet(session);
    const filter = createFilter(options);
    const printer = createPrinter(session);
    const abort = new AbortController();
    session.control.onStopSignal(() => abort.abort());
    const followers = options.follow === true
        ? gateways.map(gateway => followGateway(session, gateway, { filter, printer, signal: abort.signal }))
        : [];
    await Promise.all(gateways.map(async gateway => {
        try {
            printer.add(await session.clientOf(gateway).events.list.query(filter));
        }
        catch (error) {
            session.control.writeError(`${gateway.name} sent no events: ${toTypedError(error).message}\n`);
        }
    }));
    printer.flush();
    while (options.follow === true && !abort.signal.aborted) {
        await session.clock.sleep(operatorConstants.followWindowMilliseconds, abort.signal);
        printer.flush();
    }
    await Promise.all(followers);
    return ExitCode.Success;
}

function createFilter(options: OperatorOptions): EventFilter {
    const { request, database, versionNumber } = options;
    return {
        ...request === undefined ? {} : { requestId: request },
        ...database === undefined ? {} : { database },
        ...versionNumber === undefined ? {} : { version: parseVersion(versionNumber, "--version-number") },
    };
}

/** Collects events and prints them in order, each once. */
interface Printer {
    add(events: readonly TimelineEvent[]): void;
    flush(): void;
}

function createPrinter(session: OperatorSession): Printer {
    const printed = new Set<string>();
    let waiting: TimelineEvent[] = [];

    function add(events: readonly TimelineEvent[]): void {
        for (const event of events) {
            const key = `${event.process} ${event.sequence} ${event.timestamp.wallMilliseconds}`;
            if (!printed.has(key)) {
                printed.add(key);
                waiting.push(event);
            }
        }
    }

    function flush(): void {
        for (const event of waiting.sort(compareEvents)) {
            session.control.write(`${formatEvent(event)}\n`);
        }
        waiting = [];
    }

    return { add, flush };
}

/** Options of `followGateway`. */
interface FollowOptions {
    readonly filter: EventFilter;
    readonly printer: Printer;
    readonly signal: AbortSignal;
}

async function followGateway(session: OperatorSession, gateway: PeerRecord, options: FollowOptions): Promise<void> {
    const client = session.clientOf(gateway);
    while (!options.signal.aborted) {
        try {
            const events = iterateSubscription<TimelineEvent>(
                observer => client.events.follow.subscribe(options.filter, observer),
                options.signal,
            );
            for await (const event of events) {
                options.printer.add([event]);
            }
        }
        catch (error) {
            if (!options.signal.aborted) {
                session.control.writeError(`${gateway.name} stopped sending events: ${toTypedError(error).message}\n`);
            }
        }
        await session.clock.sleep(operatorConstants.followRetryMilliseconds, options.signal);
    }
}
