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
 * @param options The process, the names of the services, the log and the event recorder.
 * @returns Resolves with the exit code once the kernel has stopped.
 *
 * @example
 * control.exit(await stopOnSignals(kernel, { control, serviceNames, log, events }));
 */
export function stopOnSignals(kernel: Kernel, options: StopOnSignalsOptions): Promise<ExitCode> {
    const { control, serviceNames, log, events } = options;
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
            void stop().then(resolve);
        });
    });
}
