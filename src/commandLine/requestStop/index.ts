/**
 * Requests a graceful stop of the running process by sending it SIGTERM.
 *
 * @example
 * requestStop();
 */
export function requestStop(): void {
    process.kill(process.pid, "SIGTERM");
}
