import { stripComments } from "jsonc-parser";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import { configurationConstants } from "../constants.js";
import { isPlainObject } from "../isPlainObject/index.js";

/** Keys that have a special meaning in JavaScript objects. */
const reservedKeys: ReadonlySet<string> = new Set(["__proto__", "constructor", "hasOwnProperty", "prototype"]);

/**
 * Parses the text of a patch, which is JSON with comments.
 *
 * @param text The text, as the operator submitted it.
 * @returns The patch, an object.
 * @throws TarragonpostError of kind `InvalidPatch` when the patch is too large, nested too deep, not JSON or
 * not an object, or has a reserved key.
 *
 * @example
 * parsePatch("{ \"limits\": { \"requestBytes\": 1000 } }");
 */
export function parsePatch(text: string): Readonly<Record<string, unknown>> {
    const bytes = Buffer.byteLength(text);
    if (bytes > configurationConstants.maximumPatchBytes) {
        throw invalidPatch(
            "",
            `The patch has ${bytes} bytes; at most ${configurationConstants.maximumPatchBytes} are accepted.`,
            {
                remedy: "Split it into several patches.",
            },
        );
    }
    const patch = parseText(text);
    if (!isPlainObject(patch)) {
        throw invalidPatch("", "The patch is not a JSON object.", {
            remedy: "Write an object with the keys that are to change.",
        });
    }
    checkKeys(patch, []);
    return patch;
}

function parseText(text: string): unknown {
    try {
        return JSON.parse(stripComments(text)) as unknown;
    }
    catch (cause) {
        const reason = cause instanceof Error ? cause.message : String(cause);
        throw invalidPatch("", `The patch is not JSON: ${reason}.`, {
            remedy: "Correct the text of the patch.",
            cause,
        });
    }
}

function checkKeys(value: unknown, path: readonly string[]): void {
    if (path.length > configurationConstants.maximumPatchDepth) {
        throw invalidPatch(path.join("."), `The patch is nested deeper than ${path.length - 1} levels.`, {
            remedy: "Submit a patch with fewer levels.",
        });
    }
    if (typeof value !== "object" || !value) {
        return;
    }
    for (const [key, inner] of Object.entries(value)) {
        const innerPath = [...path, key];
        if (reservedKeys.has(key)) {
            throw invalidPatch(innerPath.join("."), `The key \`${innerPath.join(".")}\` is reserved.`, {
                remedy: "Choose another name.",
            });
        }
        checkKeys(inner, innerPath);
    }
}

function invalidPatch(key: string, description: string, options: { remedy: string; cause?: unknown; }): TypedError {
    return createError(ErrorKind.InvalidPatch, description, { ...options, details: { key } });
}
