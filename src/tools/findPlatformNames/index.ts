import { readFileSync } from "node:fs";
import { toolConstants } from "../constants.js";

/** A line that uses a name of the users' platform. */
interface PlatformName {
    readonly file: string;
    readonly line: number;
    readonly name: string;
}

/** Names that only the platform adapter may use: keywords of the wire protocol, fields, headers and paths. */
const platformNames = new RegExp(
    [
        "\\b(?:AFTERLSN|STEPDOWN|INDOUBT|CONNLIMIT|MISROUTED|NODB|NOSTMT)\\b",
        "\\b(?:coldLeftMs|dbRole|routeType|maxStalenessMs|targetLatencyMs|txIdleMs|syncReplicas|maxConns|pathPrefix|apiKeys|ratePerS|noAuth|quotaWindowS|quotaOver|quotaSlack)\\b",
        "\\b(?:nodeName|machineClass|portRange|cloudApi|graceS|memoryMb)\\b",
        "X-Duty-Holder|X-Fencing-Token|X-Instance-Id|X-Target-Instance|/-/objects|/-/readiness",
    ].join("|"),
);

/**
 * Finds names of the users' platform outside the platform adapter.
 *
 * @param files Paths of the source files, from the root of the project.
 * @returns The lines that use such a name.
 *
 * @example
 * findPlatformNames(listSourceFiles()); // => []
 */
export function findPlatformNames(files: readonly string[]): readonly PlatformName[] {
    return files
        .filter(file =>
            file.startsWith("src/") && !toolConstants.platformFolders.some(folder => file.startsWith(folder))
        )
        .flatMap(file =>
            readFileSync(file, "utf8").split("\n").flatMap((text, index) => {
                const name = platformNames.exec(text)?.[0];
                return name === undefined ? [] : [{ file, line: index + 1, name }];
            })
        );
}
