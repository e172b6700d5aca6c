import { waitForValue } from "../../site/waitForValue/index.js";

const timeoutMilliseconds = 15_000;

/**
 * Waits until a condition is true.
 *
 * @param awaited The awaited condition, for the error message.
 * @param condition Polled until it returns true.
 * @throws TarragonpostError of kind `DeadlineExceeded` when it stays false.
 *
 * @example
 * await waitUntilTrue("the VM is ready", vm.isReady);
 */
export async function waitUntilTrue(awaited: string, condition: () => Promise<boolean> | boolean): Promise<void> {
    await waitForValue(awaited, timeoutMilliseconds, async () => await condition() ? true : undefined);
}
