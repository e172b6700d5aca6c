import type { Clock } from "../../clock/types/Clock.js";
import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Kernel } from "../../kernel/types/Kernel.js";
import type { Service } from "../../kernel/types/Service.js";
import type { ServiceName } from "../../kernel/types/ServiceName.js";
import { reportFailure } from "../reportFailure/index.js";
import { ExitCode } from "../types/ExitCode.js";
import type { ProcessControl } from "../types/ProcessControl.js";

/** Options of `stopOnSignals`. */
interface StopOnSignalsOptions {
    readonly control: ProcessControl;
    readonly clock: Clock;
    /** Time from the first signal after which the stop ends, whatever has not stopped; undefined to wait for all. */
    readonly longestStopMilliseconds: number | undefined;
    /** Services of the kernel that are queried for the work that the stop waits for. */
    readonly serviceNames: readonly ServiceName[];
    /** The event recorder, when the binary has one. */
    readonly events: EventRecorder | undefined;
    /** Writes a log line. */
    log(message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/**
 * Stops a kernel gracefully at the first signal; each further signal logs the work that the stop still waits for.
 *
 * @param kernel The started kernel.
 * @param options The process, clock, longest stop in milliseconds, names of the services, log and event recorder.
 * @returns Resolves with the exit code once the kernel has stopped, or the longest stop has passed.
 *
 * @example
 * control.exit(await stopOnSignals(kernel, { control, clock, longestStopMilliseconds: 5_700, serviceNames, log, events }));
 */
export function stopOnSignals(kernel: Kernel, options: StopOnSignalsOptions): Promise<ExitCode> {
    const { control, clock, longestStopMilliseconds, serviceNames, log, events } = options;
    let isStopping = false;

    async function stop(): Promise<ExitCode> {
        log("graceful stop started");
        events?.record({ kind: EventKind.ProcessStopping, text: "The process started its graceful stop." });
        try {
            await kernel.stop();
            log("graceful stop finished");
            return ExitCode.Success;
        }
        catch (error) {
            return reportFailure(error, control);
        }
    }

    /** A service that waits for another process must not keep this one until it is killed. */
    function giveUp(): ExitCode {
        log("graceful stop given up: not all services have stopped", { longestStopMilliseconds });
        return ExitCode.Failure;
    }

    function logWorkInFlight(): void {
        const work = serviceNames.flatMap(name =>
            (kernel.get<Service>(name).describeWork?.() ?? []).map(line => `${name}: ${line}`)
        );
        log("graceful stop waits for work in flight", { work });
    }

    return new Promise(resolve => {
        control.onStopSignal(() => {
            if (isStopping) {
                logWorkInFlight();
                return;
            }
            isStopping = true;
            if (longestStopMilliseconds !== undefined) {
                clock.startTimer(longestStopMilliseconds, () => resolve(giveUp()));
            }
            void stop().then(resolve);
        });
    });
}
