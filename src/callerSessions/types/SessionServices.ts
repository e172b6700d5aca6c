import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { ByteBudget } from "../../memory/types/ByteBudget.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { RetryAllowance } from "../../pace/types/RetryAllowance.js";
import type { Placement } from "../../placement/types/Placement.js";
import type { PositionEvidence } from "../../primaries/types/PositionEvidence.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import type { PrimaryVerification } from "../../primaries/types/PrimaryVerification.js";
import type { Quotas } from "../../quotas/types/Quotas.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { EvidenceRenewal } from "./EvidenceRenewal.js";
import type { GracefulStop } from "./GracefulStop.js";
import type { PreparedNames } from "./PreparedNames.js";

/** The services that callers' sessions need. */
export interface SessionServices {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly evidence: PositionEvidence;
    readonly verification: PrimaryVerification;
    readonly placement: Placement;
    readonly retryAllowance: RetryAllowance;
    readonly renewal: EvidenceRenewal;
    readonly quotas: Quotas;
    readonly preparedNames: PreparedNames;
    readonly budget: ByteBudget;
    readonly stop: GracefulStop;
    readonly metrics: Metrics;
    readonly log: LogTopic;
}
