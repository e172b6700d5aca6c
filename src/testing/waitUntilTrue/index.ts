import { waitUntil } from "../../site/waitUntil/index.js";

const timeoutMilliseconds = 15_000;

/**
 * Waits until a question is answered with true.
 *
 * @param what What is waited for, for the message.
 * @param ask The question, asked again and again.
 * @throws TarragonpostError of kind `DeadlineExceeded` when it stays false.
 *
 * @example
 * await waitUntilTrue("the VM is ready", vm.isReady);
 */
export async function waitUntilTrue(what: string, ask: () => Promise<boolean> | boolean): Promise<void> {
    await waitUntil(what, timeoutMilliseconds, async () => await ask() ? true : undefined);
}
