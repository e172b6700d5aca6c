import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

const verdicts: Partial<Record<ErrorKind, ProbeVerdict>> = {
    [ErrorKind.ConnectionLimitReached]: ProbeVerdict.Alive,
    [ErrorKind.EndpointRefused]: ProbeVerdict.Alive,
    [ErrorKind.ConnectionClosed]: ProbeVerdict.Refused,
    [ErrorKind.Unreachable]: ProbeVerdict.Refused,
};

/**
 * Classifies the failure of a fresh connection to an endpoint.
 *
 * An endpoint that refuses the connection because its connection limit is reached is alive.
 *
 * @param error Error with which `connect` or the first call failed.
 * @returns The verdict.
 *
 * @example
 * const verdict = classifyProbeFailure(error);
 */
export function classifyProbeFailure(error: unknown): ProbeVerdict {
    return verdicts[toTypedError(error).kind] ?? ProbeVerdict.Silent;
}
