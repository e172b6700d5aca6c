import { readFileSync } from "node:fs";

/**
 * Reads the version of the product from `package.json`.
 *
 * @returns The version, for example `0.1.0`.
 *
 * @example
 * commandLine.version(readProductVersion());
 */
export function readProductVersion(): string {
    const text = readFileSync(new URL("../../../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { readonly version: string; }).version;
}
