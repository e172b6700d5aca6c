import type { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { applyPatch } from "../applyPatch/index.js";
import { systemConfigurationSchema } from "../systemConfigurationSchema/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";

/** One reason against a patch. */
interface PatchProblem {
    readonly key: string;
    readonly reason: string;
}

/**
 * Applies a patch and checks the content that results, each entry and the references between entries.
 *
 * @param document The content that the patch is against.
 * @param patch The patch, an object.
 * @returns The content after the patch.
 * @throws TarragonpostError of kind `InvalidPatch` that names each key and the reason.
 *
 * @example
 * const next = checkPatch(state.snapshot().document, { limits: { requestBytes: 1_000 } });
 */
export function checkPatch(
    document: ConfigurationDocument,
    patch: Readonly<Record<string, unknown>>,
): ConfigurationDocument {
    const next = applyPatch(document, patch);
    const outcome = systemConfigurationSchema.safeParse(next);
    const problems = outcome.success
        ? [...findReferenceProblems(next)]
        : outcome.error.issues.flatMap(describeIssue);
    const first = problems[0];
    if (first === undefined) {
        return next;
    }
    const list = problems.map(({ key, reason }) => `\`${key}\`: ${reason}`).join("; ");
    throw createError(ErrorKind.InvalidPatch, `The patch is invalid: ${list}.`, {
        remedy: "Correct these keys and submit it again; no version number was used.",
        details: { key: first.key, reason: first.reason },
    });
}

function describeIssue(issue: z.core.$ZodIssue): PatchProblem[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({ key: [...issue.path, key].join("."), reason: "unknown key" }));
    }
    return [{ key: issue.path.join("."), reason: issue.message }];
}

function* findReferenceProblems(document: ConfigurationDocument): Generator<PatchProblem> {
    const { databases = {}, callers = {} } = document;
    const databaseByEndpoint = new Map<string, string>();
    for (const [database, definition] of Object.entries(databases)) {
        for (const endpoint of Object.keys(definition.endpoints)) {
            const other = databaseByEndpoint.get(endpoint);
            if (other !== undefined) {
                const key = `databases.${database}.endpoints.${endpoint}`;
                yield { key, reason: `the name is taken by an endpoint of database ${other}` };
            }
            databaseByEndpoint.set(endpoint, database);
        }
    }
    for (const [caller, definition] of Object.entries(callers)) {
        for (const database of definition.databases) {
            if (!Object.hasOwn(databases, database)) {
                yield { key: `callers.${caller}.databases`, reason: `there is no database ${database}` };
            }
        }
    }
    if (Object.keys(callers).length > 0 && document.tokenSecret === undefined) {
        yield { key: "tokenSecret", reason: "expected once there is a caller" };
    }
}
