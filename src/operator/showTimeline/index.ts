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
import { queryFleetStatus } from "../queryFleetStatus/index.js";
import type { CommandContext } from "../types/CommandContext.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";

/**
 * Prints the events of all processes as one time line, in the order of their hybrid logical timestamps.
 *
 * @param context Gateway clients and output of the command.
 * @param _commandArguments Not used.
 * @param options `request`, `database` and `versionNumber` select events; `follow` prints new events until interrupted.
 * @returns Success.
 *
 * @example
 * await showTimeline(context, [], { database: "stock", follow: true });
 */
export async function showTimeline(
    context: CommandContext,
    _commandArguments: readonly string[],
    options: OperatorOptions,
): Promise<ExitCode> {
    const { gateways } = await queryFleetStatus(context);
    const filter = createFilter(options);
    const printer = createPrinter(context);
    const stopController = new AbortController();
    context.control.onStopSignal(() => stopController.abort());
    const followTasks = options.follow === true
        ? gateways.map(gateway => followGateway(context, gateway, { filter, printer, signal: stopController.signal }))
        : [];
    await Promise.all(gateways.map(async gateway => {
        try {
            printer.add(await context.clientOf(gateway).events.list.query(filter));
        }
        catch (error) {
            context.control.writeError(`${gateway.name} sent no events: ${toTypedError(error).message}\n`);
        }
    }));
    printer.flush();
    while (options.follow === true && !stopController.signal.aborted) {
        await context.clock.sleep(operatorConstants.followWindowMilliseconds, stopController.signal);
        printer.flush();
    }
    await Promise.all(followTasks);
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

/** Buffers events and prints them in order of their timestamps, each once. */
interface Printer {
    add(events: readonly TimelineEvent[]): void;
    flush(): void;
}

function createPrinter(context: CommandContext): Printer {
    const printed = new Set<string>();
    let buffered: TimelineEvent[] = [];

    function add(events: readonly TimelineEvent[]): void {
        for (const event of events) {
            const key = `${event.process} ${event.sequence} ${event.timestamp.wallMilliseconds}`;
            if (!printed.has(key)) {
                printed.add(key);
                buffered.push(event);
            }
        }
    }

    function flush(): void {
        for (const event of buffered.sort(compareEvents)) {
            context.control.write(`${formatEvent(event)}\n`);
        }
        buffered = [];
    }

    return { add, flush };
}

/** Options of `followGateway`. */
interface FollowOptions {
    readonly filter: EventFilter;
    readonly printer: Printer;
    readonly signal: AbortSignal;
}

async function followGateway(context: CommandContext, gateway: PeerRecord, options: FollowOptions): Promise<void> {
    const client = context.clientOf(gateway);
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
                context.control.writeError(`${gateway.name} stopped sending events: ${toTypedError(error).message}\n`);
            }
        }
        await context.clock.sleep(operatorConstants.followRetryMilliseconds, options.signal);
    }
}
