import { createCallerSessions } from "../../callerSessions/createCallerSessions/index.js";
import { createEvidenceRenewal } from "../../callerSessions/createEvidenceRenewal/index.js";
import { createGracefulStop } from "../../callerSessions/createGracefulStop/index.js";
import { createPreparedNames } from "../../callerSessions/createPreparedNames/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { Duty } from "../../duty/types/Duty.js";
import { createLoadControl } from "../../forwarding/createLoadControl/index.js";
import type { SessionForwarding } from "../../forwarding/types/SessionForwarding.js";
import type { SessionHosts } from "../../forwarding/types/SessionHosts.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { ByteBudget } from "../../memory/types/ByteBudget.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { createRetryAllowance } from "../../pace/createRetryAllowance/index.js";
import type { Placement } from "../../placement/types/Placement.js";
import type { PositionEvidence } from "../../primaries/types/PositionEvidence.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import type { PrimaryVerification } from "../../primaries/types/PrimaryVerification.js";
import type { Quotas } from "../../quotas/types/Quotas.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createRouteFreshness } from "../createRouteFreshness/index.js";
import type { VmSettings } from "../types/VmSettings.js";

/**
 * Defines the service that serves callers' sessions.
 *
 * @param settings Settings of the VM.
 * @returns The definition of the service, for a kernel.
 *
 * @example
 * const definitions = [defineSessionService(settings), ...listForwardingServices(settings)];
 */
export function defineSessionService(settings: VmSettings): ServiceDefinition {
    return {
        name: ServiceName.CallerSessions,
        dependencies: [
            ServiceName.Clock,
            ServiceName.Random,
            ServiceName.Directory,
            ServiceName.Primaries,
            ServiceName.PositionEvidence,
            ServiceName.PrimaryVerification,
            ServiceName.Placement,
            ServiceName.Quotas,
            ServiceName.SessionForwarding,
            ServiceName.SessionHosts,
            ServiceName.Duty,
            ServiceName.ByteBudget,
            ServiceName.Metrics,
            ServiceName.Logger,
        ],
        create: (
            clock: Clock,
            random: RandomSource,
            directory: Directory,
            primaries: Primaries,
            evidence: PositionEvidence,
            verification: PrimaryVerification,
            placement: Placement,
            quotas: Quotas,
            forwarding: SessionForwarding,
            hosts: SessionHosts,
            duty: Duty,
            budget: ByteBudget,
            metrics: Metrics,
            logger: Logger,
        ) => {
            const log = logger.topic("sessions");
            const preparedNames = createPreparedNames();
            const shared = {
                clock,
                random,
                directory,
                primaries,
                evidence,
                verification,
                placement,
                quotas,
                retryAllowance: createRetryAllowance(
                    clock,
                    createLoadControl({ directory, hosts, otherVms: duty.otherVms }),
                ),
                preparedNames,
                stop: createGracefulStop(clock, settings.graceMilliseconds),
                budget,
                metrics,
                log,
            };
            return createCallerSessions(
                { ...shared, renewal: createEvidenceRenewal(shared) },
                {
                    graceMilliseconds: settings.graceMilliseconds,
                    forwarding,
                    hasNewestRoutes: createRouteFreshness(clock, duty),
                },
            );
        },
    };
}
