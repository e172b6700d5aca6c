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
    /** The services of the kernel, asked for the work that is still under way. */
    readonly serviceNames: readonly ServiceName[];
    /** The time line, when the binary has one. */
    readonly events: EventRecorder | undefined;
    /** Writes a log line. */
    log(message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/**
 * Stops a kernel gracefully at the first signal; each further signal logs what is still under way.
 *
 * @param kernel The started kernel.
 * @param options The process, the services' names and the log.
 * @returns Resolves with the exit code once the kernel has stopped.
 *
 * @example
 * control.exit(await stopOnSignals(kernel, { control, serviceNames, log, events }));
 */
export function stopOnSignals(kernel: Kernel, options: StopOnSignalsOptions): Promise<ExitCode> {
    const { control, serviceNames, log, events } = options;
    let isStopping = false;

    async function stop(): Promise<ExitCode> {
        log("stopping");
        events?.record({ kind: EventKind.ProcessStopping, text: "Stopping gracefully." });
        try {
            await kernel.stop();
            log("stopped");
            return ExitCode.Success;
        }
        catch (error) {
            return reportFailure(error, control);
        }
    }

    function logWork(): void {
        const work = serviceNames.flatMap(name =>
            (kernel.get<Service>(name).describeWork?.() ?? []).map(line => `${name}: ${line}`)
        );
        log("still stopping", { work });
    }

    return new Promise(resolve => {
        control.onStopSignal(() => {
            if (isStopping) {
                logWork();
                return;
            }
            isStopping = true;
            void stop().then(resolve);
        });
    });
}
