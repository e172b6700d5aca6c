import type { RecordedOperation } from "../../src/history/types/RecordedOperation.js";
import { OutcomeKind } from "../../src/messages/types/OutcomeKind.js";
import { waitUntil } from "../../src/site/waitUntil/index.js";
import { featureConstants } from "./featureConstants.js";
import type { Scene } from "./Scene.js";

/** Waits until callers got a number of answers that fit, from operations that begin from now on. */
export async function waitForAnswers(
    scene: Scene,
    count: number,
    isFitting: (operation: RecordedOperation) => boolean = () => true,
): Promise<void> {
    const { operations } = scene.load;
    const since = performance.now();
    const isCounted = (operation: RecordedOperation): boolean =>
        operation.outcome === OutcomeKind.Answer && operation.invokedAt >= since && isFitting(operation);
    await waitUntil(`${count} answers`, featureConstants.waitTimeoutMilliseconds, async () => {
        return operations.filter(isCounted).length >= count ? true : undefined;
    });
}
