import type { RetryBudget } from "../../admission/types/RetryBudget.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { FreshnessService } from "../../freshness/types/FreshnessService.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { EndpointObservations } from "../../routing/types/EndpointObservations.js";
import type { ReadPolicy } from "../../routing/types/ReadPolicy.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import type { GatewayClient } from "./GatewayClient.js";

/** The services and settings that request execution uses. */
export interface ExecutionContext {
    readonly topology: TopologyService;
    readonly configuration: ConfigurationService;
    readonly gateways: GatewayClient;
    readonly observations: EndpointObservations;
    readonly freshness: FreshnessService;
    readonly retryBudget: RetryBudget;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly readPolicy: ReadPolicy;
    readonly localZone: string;
    readonly localRegion: string;
}
