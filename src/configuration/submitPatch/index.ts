import { createError } from "../../errors/createError/index.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import { EventKind } from "../../events/types/EventKind.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { checkPatch } from "../checkPatch/index.js";
import { configurationConstants } from "../constants.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import { parsePatch } from "../parsePatch/index.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";
import type { PatchAnswer } from "../types/PatchAnswer.js";
import type { PatchRequest } from "../types/PatchRequest.js";
import type { VersionRecord } from "../types/VersionRecord.js";
import { updateDigest } from "../updateDigest/index.js";

/**
 * Submits a patch on behalf of an operator and determines its definite outcome.
 *
 * The version after `against` is created only if absent, so of two concurrent patches exactly one is accepted. If the
 * store's answer is lost, the version is read and its patch id compared. A repeated patch id returns its version.
 *
 * @param request The patch, its id and the version that it is against.
 * @param dependencies State, store, clock and event recorder.
 * @returns The version that the patch became.
 * @throws TarragonpostError of kind `InvalidPatch`, `Conflict`, `PlatformUnavailable` (nothing was written) or
 * `OutcomeUnknown` (submit the patch again with the same id).
 *
 * @example
 * const { version } = await submitPatch({ against: 7, patchText, patchId, author: "operator" }, dependencies);
 */
export async function submitPatch(
    request: PatchRequest,
    dependencies: ConfigurationDependencies,
): Promise<PatchAnswer> {
    const { state } = dependencies;
    const patch = parsePatch(request.patchText);
    if (request.against > state.current().version) {
        await catchUpFromStore(state, dependencies.store, { withSnapshot: true });
    }
    const knownVersion = state.versionOfPatch(request.patchId);
    if (knownVersion !== undefined) {
        const answer = { version: knownVersion, isRepeated: true };
        recordAcceptance(request, answer, dependencies);
        return answer;
    }
    const base = state.snapshot();
    if (request.against !== base.version) {
        throw createConflict(request.against, Math.max(base.version, state.highestKnownVersion()));
    }
    const document = checkPatch(base.document, patch);
    const record: VersionRecord = {
        version: base.version + 1,
        patch,
        patchId: request.patchId,
        digest: updateDigest(base.digest, base.document, document, patch),
        author: request.author,
        wallMilliseconds: dependencies.clock.wallTime(),
    };
    const { storedRecord, isRepeated } = await createOrResolveVersion(record, dependencies);
    const answer = { version: storedRecord.version, isRepeated };
    const isAccepted = storedRecord.patchId === record.patchId;
    if (isAccepted) {
        recordAcceptance(request, answer, dependencies);
    }
    state.applyRecord(storedRecord);
    if (!isAccepted) {
        throw createConflict(request.against, Math.max(storedRecord.version, state.highestKnownVersion()));
    }
    return answer;
}

/** Records the acceptance on the time line; called before the version comes into force in this process. */
function recordAcceptance(request: PatchRequest, answer: PatchAnswer, dependencies: ConfigurationDependencies): void {
    const { version } = answer;
    const verb = answer.isRepeated ? "had already become" : "became";
    const text = `Patch ${request.patchId} of ${request.author} ${verb} version ${version}.`;
    dependencies.events.record({ kind: EventKind.ConfigurationPatched, version, text });
}

/** Creates the version, or returns the record that another submission created; retries when answers are lost. */
async function createOrResolveVersion(
    record: VersionRecord,
    dependencies: ConfigurationDependencies,
): Promise<{ storedRecord: VersionRecord; isRepeated: boolean; }> {
    const { store, clock, random } = dependencies;
    const deadline = clock.now() + configurationConstants.submitTimeoutMilliseconds;
    let isOutcomeUnknown = false;
    for (const delay of listRetryDelays(random)) {
        try {
            await store.createRecord(record);
            return { storedRecord: record, isRepeated: false };
        }
        catch (error) {
            const isExpected = isTypedError(error, ErrorKind.Conflict)
                || isTypedError(error, ErrorKind.OutcomeUnknown) || isTypedError(error, ErrorKind.PlatformUnavailable);
            if (!isExpected) {
                throw error;
            }
            isOutcomeUnknown ||= error.kind === ErrorKind.OutcomeUnknown;
            const storedRecord = error.kind === ErrorKind.PlatformUnavailable
                ? undefined
                : await store.readRecord(record.version).catch(() => undefined);
            if (storedRecord !== undefined) {
                return { storedRecord, isRepeated: storedRecord.patchId === record.patchId && !isOutcomeUnknown };
            }
        }
        if (clock.now() >= deadline) {
            break;
        }
        await clock.sleep(delay);
    }
    throw createUnresolvedError(record, isOutcomeUnknown);
}

function createUnresolvedError(record: VersionRecord, isOutcomeUnknown: boolean): TypedError {
    if (isOutcomeUnknown) {
        return createError(
            ErrorKind.OutcomeUnknown,
            "The answer of the platform's store was lost, and the outcome cannot be read.",
            {
                remedy: `Submit the same patch again with --against ${record.version - 1} --id ${record.patchId}.`,
                details: { patchId: record.patchId },
            },
        );
    }
    return createError(
        ErrorKind.PlatformUnavailable,
        "The platform's store accepts no writes; the patch was not applied.",
        {
            remedy: "Submit it again when `tarragonpost status` shows that the platform is reachable.",
        },
    );
}

function createConflict(against: number, version: number): TypedError {
    const description = against > version
        ? `The patch is against version ${against}, which does not exist.`
        : `The patch is against version ${against}, but version ${version} exists.`;
    return createError(ErrorKind.Conflict, description, {
        remedy: `Read version ${version} again with \`tarragonpost config get\` and submit the patch against it.`,
        details: { version },
    });
}
