import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { applyPatch } from "../../configuration/applyPatch/index.js";
import { checkPatch } from "../../configuration/checkPatch/index.js";
import { createConfigurationState } from "../../configuration/createConfigurationState/index.js";
import { digestDocument } from "../../configuration/digestDocument/index.js";
import type { ConfigurationDocument } from "../../configuration/types/ConfigurationDocument.js";
import { updateDigest } from "../../configuration/updateDigest/index.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { summarizeSamples } from "../../statistics/summarizeSamples/index.js";
import type { BenchmarkRow } from "../types/BenchmarkRow.js";

const versionCount = 50;

/**
 * Measures the processor time of one configuration version: to apply it, and to check it where it is submitted.
 *
 * @param databaseCount Number of databases in the configuration, each with three endpoints.
 * @returns Processor time of each step and the size of the configuration.
 *
 * @example
 * const row = measureVersionApplication(11_000);
 */
export function measureVersionApplication(databaseCount: number): BenchmarkRow {
    const state = createConfigurationState(createEventRecorder("benchmark", createSystemClock()));
    const base = createContent(databaseCount);
    state.restore({ version: 1, document: base, digest: digestDocument(base), patchIds: [] });
    const applying: number[] = [];
    const checking: number[] = [];
    for (let index = 0; index < versionCount; index += 1) {
        const { version, document, digest } = state.snapshot();
        const number = index % databaseCount;
        const endpoints = { [`endpoint-${number}-0`]: { slots: 4 + index } };
        const patch = { databases: { [`database-${number}`]: { endpoints } } };
        checking.push(measureMilliseconds(() => checkPatch(document, patch)));
        const nextDigest = updateDigest(digest, document, applyPatch(document, patch), patch);
        const record = { version: version + 1, patch, patchId: `p-${index}`, digest: nextDigest, author: "benchmark" };
        applying.push(measureMilliseconds(() => state.applyRecord({ ...record, wallMilliseconds: 0 })));
    }
    return {
        arrangement: `content of ${databaseCount} databases`,
        isBaseline: false,
        figures: {
            applyP50Milliseconds: summarizeSamples(applying).p50,
            applyP99Milliseconds: summarizeSamples(applying).p99,
            checkP50Milliseconds: summarizeSamples(checking).p50,
            contentMegabytes: JSON.stringify(state.snapshot().document).length / 1_000_000,
        },
    };
}

function createContent(databaseCount: number): ConfigurationDocument {
    const numbers = Array.from({ length: databaseCount }, (_, index) => index);
    return {
        databases: Object.fromEntries(numbers.map(number => [`database-${number}`, {
            endpoints: Object.fromEntries([0, 1, 2].map(place => [`endpoint-${number}-${place}`, {
                host: "127.0.0.1",
                port: 5_432,
                availabilityZone: `zone-${place}`,
                region: "north",
                slots: 3,
                connectionLimit: 40,
            }])),
            initialPrimary: `endpoint-${number}-0`,
        }])),
    };
}

function measureMilliseconds(action: () => unknown): number {
    const start = performance.now();
    action();
    return performance.now() - start;
}
