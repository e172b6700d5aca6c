import { createGracefulStop } from "../../callerSessions/createGracefulStop/index.js";
import { createPreparedNames } from "../../callerSessions/createPreparedNames/index.js";
import type { SessionServices } from "../../callerSessions/types/SessionServices.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { memoryConstants } from "../../memory/constants.js";
import { createByteBudget } from "../../memory/createByteBudget/index.js";
import { createMetrics } from "../../metrics/createMetrics/index.js";
import { createRetryAllowance } from "../../pace/createRetryAllowance/index.js";
import { createPositionEvidence } from "../../primaries/createPositionEvidence/index.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { Verifiability } from "../../primaries/types/Verifiability.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createPopulatedDirectory } from "../createPopulatedDirectory/index.js";

const graceMilliseconds = 6_000;

/**
 * Creates the services of callers' sessions for tests: no connection is available, and primaries are verified.
 *
 * @param clock Source of time.
 * @param endpoints The endpoints in the directory.
 * @param changes Services that replace the default ones.
 * @returns The services.
 *
 * @example
 * const services = createSessionServices(createManualClock(), [], { verification });
 */
export function createSessionServices(
    clock: Clock,
    endpoints: readonly EndpointRecord[],
    changes: Partial<SessionServices> = {},
): SessionServices {
    const metrics = createMetrics();
    const directory = createPopulatedDirectory(clock, endpoints);
    return {
        clock,
        random: createRandomSource(1),
        directory,
        primaries: createPrimaries(clock, directory, () => {}),
        evidence: createPositionEvidence(),
        verification: {
            isVerified: () => true,
            wasVerified: () => true,
            verifiabilityOf: () => Verifiability.Possible,
            verify: async () => true,
        },
        placement: {
            acquire: () => Promise.reject(new Error("no endpoint")),
            recordLagging: () => {},
            recordBusy: () => {},
            lastContactAt: () => 0,
            stop: async () => {},
        },
        retryAllowance: createRetryAllowance(clock),
        renewal: { renew: async () => {}, renewIfOld: () => {} },
        quotas: { take: () => ({ isAdmitted: true, refund: () => {} }) },
        preparedNames: createPreparedNames(),
        stop: createGracefulStop(clock, graceMilliseconds),
        budget: createByteBudget({
            limits: {
                totalBytes: memoryConstants.mostTotalBytes,
                connectionBytes: memoryConstants.bytesPerMegabyte,
                stateBytes: memoryConstants.mostStateBytes,
                answerBytes: memoryConstants.mostStateBytes,
                sessionBytes: memoryConstants.bytesPerMegabyte,
            },
            clock,
            metrics,
            log: () => {},
        }),
        metrics,
        log: () => {},
        ...changes,
    };
}
