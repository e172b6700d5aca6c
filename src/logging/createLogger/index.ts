import debug from "debug";
import type { Clock } from "../../clock/types/Clock.js";
import type { Logger } from "../types/Logger.js";

/**
 * Creates the logger of one process, which writes JSON lines; `debug` namespaces select the topics.
 *
 * @param processName Name of the process, written on each line.
 * @param clock Source of wall time.
 * @param write Writes one line that ends with a line break; defaults to standard error.
 * @returns The logger.
 *
 * @example
 * const log = createLogger("vm-1-gateway", clock).topic("failover");
 * log("fence answered", { database: "stock", term: 4 });
 */
export function createLogger(
    processName: string,
    clock: Clock,
    write: (line: string) => void = line => process.stderr.write(line),
): Logger {
    function topic(name: string): ReturnType<Logger["topic"]> {
        const namespace = `tarragonpost:${name}`;
        const selector = debug(namespace);
        selector.log = (line: string) => write(`${line}\n`);
        return (message, fields = {}) => {
            if (selector.enabled) {
                const time = new Date(clock.wallTime()).toISOString();
                write(
                    `${JSON.stringify({ time, process: processName, topic: name, message, ...fields })}\n`,
                );
            }
        };
    }

    return { topic };
}
