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
import type { ConfigurationParts } from "../types/ConfigurationParts.js";
import type { PatchAnswer } from "../types/PatchAnswer.js";
import type { PatchRequest } from "../types/PatchRequest.js";
import type { VersionRecord } from "../types/VersionRecord.js";
import { updateDigest } from "../updateDigest/index.js";

/**
 * Submits a patch on behalf of an operator and learns its true outcome.
 *
 * The version after `against` is created if absent, so of two racing operators exactly one wins. When the store's
 * answer is lost, the version is read and its patch id compared. A repeated patch id is answered with its version.
 *
 * @param request The patch, its id and the version it is against.
 * @param parts State, store and time.
 * @returns The version that the patch became.
 * @throws TarragonpostError of kind `InvalidPatch`, `Conflict`, `PlatformUnavailable` (nothing was written) or
 * `OutcomeUnknown` (repeat it with the same patch id).
 *
 * @example
 * const { version } = await submitPatch({ against: 7, patchText, patchId, author: "operator" }, parts);
 */
export async function submitPatch(request: PatchRequest, parts: ConfigurationParts): Promise<PatchAnswer> {
    const { state } = parts;
    const patch = parsePatch(request.patchText);
    if (request.against > state.current().version) {
        await catchUpFromStore(state, parts.store, { withSnapshot: true });
    }
    const knownVersion = state.versionOfPatch(request.patchId);
    if (knownVersion !== undefined) {
        const answer = { version: knownVersion, isRepeated: true };
        recordAcceptance(request, answer, parts);
        return answer;
    }
    const base = state.snapshot();
    if (request.against !== base.version) {
        throw createConflict(request.against, Math.max(base.version, state.highestHeard()));
    }
    const document = checkPatch(base.document, patch);
    const record: VersionRecord = {
        version: base.version + 1,
        patch,
        patchId: request.patchId,
        digest: updateDigest(base.digest, base.document, document, patch),
        author: request.author,
        wallMilliseconds: parts.clock.wallTime(),
    };
    const { winner, isRepeated } = await settleVersion(record, parts);
    const answer = { version: winner.version, isRepeated };
    const isOurs = winner.patchId === record.patchId;
    if (isOurs) {
        recordAcceptance(request, answer, parts);
    }
    state.takeIn(winner);
    if (!isOurs) {
        throw createConflict(request.against, Math.max(winner.version, state.highestHeard()));
    }
    return answer;
}

/** Puts the acceptance on the time line, before the version comes into force here. */
function recordAcceptance(request: PatchRequest, answer: PatchAnswer, parts: ConfigurationParts): void {
    const { version } = answer;
    const verb = answer.isRepeated ? "had become" : "became";
    const text = `Patch ${request.patchId} of ${request.author} ${verb} version ${version}.`;
    parts.events.record({ kind: EventKind.ConfigurationPatched, version, text });
}

/** Creates the version or finds who did, however many answers are lost on the way. */
async function settleVersion(
    record: VersionRecord,
    parts: ConfigurationParts,
): Promise<{ winner: VersionRecord; isRepeated: boolean; }> {
    const { store, clock, random } = parts;
    const deadline = clock.now() + configurationConstants.submitTimeoutMilliseconds;
    let isOutcomeUnknown = false;
    for (const delay of listRetryDelays(random)) {
        try {
            await store.createRecord(record);
            return { winner: record, isRepeated: false };
        }
        catch (error) {
            const isExpected = isTypedError(error, ErrorKind.Conflict)
                || isTypedError(error, ErrorKind.OutcomeUnknown) || isTypedError(error, ErrorKind.PlatformUnavailable);
            if (!isExpected) {
                throw error;
            }
            isOutcomeUnknown ||= error.kind === ErrorKind.OutcomeUnknown;
            const winner = error.kind === ErrorKind.PlatformUnavailable
                ? undefined
                : await store.readRecord(record.version).catch(() => undefined);
            if (winner !== undefined) {
                return { winner, isRepeated: winner.patchId === record.patchId && !isOutcomeUnknown };
            }
        }
        if (clock.now() >= deadline) {
            break;
        }
        await clock.sleep(delay);
    }
    throw createUnsettledError(record, isOutcomeUnknown);
}

function createUnsettledError(record: VersionRecord, isOutcomeUnknown: boolean): TypedError {
    if (isOutcomeUnknown) {
        return createError(ErrorKind.OutcomeUnknown, "The platform's store lost the answer and cannot be read.", {
            remedy: `Submit the same patch again with --against ${record.version - 1} --id ${record.patchId}.`,
            details: { patchId: record.patchId },
        });
    }
    return createError(ErrorKind.PlatformUnavailable, "The platform's store takes no writes; the patch was not run.", {
        remedy: "Submit it again when `tarragonpost status` shows that the platform is reached.",
    });
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
