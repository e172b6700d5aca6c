import type { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { applyPatch } from "../applyPatch/index.js";
import { pickPatchedEntries } from "../pickPatchedEntries/index.js";
import { systemConfigurationSchema } from "../systemConfigurationSchema/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";

/** One reason why a patch is invalid. */
interface PatchProblem {
    readonly key: string;
    readonly reason: string;
}

/**
 * Applies a patch and validates the result: the entries that the patch names, and all references to them.
 *
 * Entries that the patch does not name were validated when they were submitted.
 *
 * @param document The document that the patch is against.
 * @param patch The patch, an object.
 * @returns The document after the patch.
 * @throws TarragonpostError of kind `InvalidPatch` that names each invalid key and the reason.
 *
 * @example
 * const next = checkPatch(state.snapshot().document, { limits: { requestBytes: 1_000 } });
 */
export function checkPatch(
    document: ConfigurationDocument,
    patch: Readonly<Record<string, unknown>>,
): ConfigurationDocument {
    const next = applyPatch(document, patch);
    const patched = pickPatchedEntries(next, patch);
    const outcome = systemConfigurationSchema.safeParse(patched);
    const problems = outcome.success
        ? [...findReferenceProblems(next, patched, patch)]
        : outcome.error.issues.flatMap(describeIssue);
    const first = problems[0];
    if (first === undefined) {
        return next;
    }
    const list = problems.map(({ key, reason }) => `\`${key}\`: ${reason}`).join("; ");
    throw createError(ErrorKind.InvalidPatch, `The patch is invalid: ${list}.`, {
        remedy: "Correct these keys and submit the patch again; no version was created.",
        details: { key: first.key, reason: first.reason },
    });
}

function describeIssue(issue: z.core.$ZodIssue): PatchProblem[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({ key: [...issue.path, key].join("."), reason: "unknown key" }));
    }
    return [{ key: issue.path.join("."), reason: issue.message }];
}

function* findReferenceProblems(
    document: ConfigurationDocument,
    patched: ConfigurationDocument,
    patch: Readonly<Record<string, unknown>>,
): Generator<PatchProblem> {
    yield* findTakenNames(document, patched);
    const { databases = {}, callers = {} } = document;
    const isDatabasePatched = Object.hasOwn(patch, "databases");
    for (const [caller, definition] of Object.entries(isDatabasePatched ? callers : patched.callers ?? {})) {
        for (const database of definition.databases) {
            if (!Object.hasOwn(databases, database)) {
                yield { key: `callers.${caller}.databases`, reason: `there is no database ${database}` };
            }
        }
    }
    if (document.tokenSecret === undefined && Object.keys(callers).length > 0) {
        yield { key: "tokenSecret", reason: "expected because callers are defined" };
    }
}

/** Finds endpoints of patched databases whose name is used by another database. */
function* findTakenNames(document: ConfigurationDocument, patched: ConfigurationDocument): Generator<PatchProblem> {
    const databaseByEndpoint = new Map<string, string>();
    for (const [database, { endpoints }] of Object.entries(patched.databases ?? {})) {
        for (const endpoint of Object.keys(endpoints)) {
            const other = databaseByEndpoint.get(endpoint);
            if (other !== undefined) {
                yield describeTakenName(database, endpoint, other);
            }
            databaseByEndpoint.set(endpoint, database);
        }
    }
    if (databaseByEndpoint.size === 0) {
        return;
    }
    const { databases = {} } = document;
    for (const other in databases) {
        for (const endpoint in databases[other]?.endpoints) {
            const database = databaseByEndpoint.get(endpoint);
            if (database !== undefined && database !== other && !Object.hasOwn(patched.databases ?? {}, other)) {
                yield describeTakenName(database, endpoint, other);
            }
        }
    }
}

function describeTakenName(database: string, endpoint: string, other: string): PatchProblem {
    const key = `databases.${database}.endpoints.${endpoint}`;
    return { key, reason: `the name is taken by an endpoint of database ${other}` };
}
