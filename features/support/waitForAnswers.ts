import type { RecordedOperation } from "../../src/history/types/RecordedOperation.js";
import { OutcomeKind } from "../../src/messages/types/OutcomeKind.js";
import { waitForValue } from "../../src/site/waitForValue/index.js";
import { featureConstants } from "./featureConstants.js";
import type { ScenarioWorld } from "./ScenarioWorld.js";

/** Waits until callers have received a number of matching answers to operations that begin after the call. */
export async function waitForAnswers(
    world: ScenarioWorld,
    count: number,
    isMatching: (operation: RecordedOperation) => boolean = () => true,
): Promise<void> {
    const { operations } = world.load;
    const startedAt = performance.now();
    const isCounted = (operation: RecordedOperation): boolean =>
        operation.outcome === OutcomeKind.Answer && operation.invokedAt >= startedAt && isMatching(operation);
    await waitForValue(`${count} answers`, featureConstants.waitTimeoutMilliseconds, async () => {
        return operations.filter(isCounted).length >= count ? true : undefined;
    });
}
