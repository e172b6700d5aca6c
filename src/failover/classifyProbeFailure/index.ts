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
 * Tells what the failure of a fresh connection says about the endpoint.
 *
 * An endpoint without room for a connection is alive.
 *
 * @param error What `connect` or the first call failed with.
 * @returns The verdict.
 *
 * @example
 * const verdict = classifyProbeFailure(error);
 */
export function classifyProbeFailure(error: unknown): ProbeVerdict {
    return verdicts[toTypedError(error).kind] ?? ProbeVerdict.Silent;
}
