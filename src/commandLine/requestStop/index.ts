/**
 * Asks the running process for its graceful stop, as the operating system would.
 *
 * @example
 * requestStop();
 */
export function requestStop(): void {
    process.kill(process.pid, "SIGTERM");
}
