import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import { waitForCondition } from "../../waiting/waitForCondition/index.js";
import { callerSessionConstants } from "../constants.js";
import { identifyCaller } from "../identifyCaller/index.js";
import type { GracefulStop } from "../types/GracefulStop.js";
import type { SessionOpening } from "../types/SessionOpening.js";
import { StopPhase } from "../types/StopPhase.js";

/** Services of `admitSession`. */
interface AdmissionServices {
    readonly clock: Clock;
    readonly directory: Pick<Directory, "routeOf" | "routingTable" | "routingVersion" | "workspaceOf">;
    readonly stop: Pick<GracefulStop, "phase">;
    /** Whether this VM knows the routes that other VMs know; not at once after its start. */
    readonly hasNewestRoutes: () => boolean;
    readonly log: LogTopic;
}

/**
 * Decides whether a session is opened. During a start it waits until the routes and keys are known.
 *
 * @param opening The database that the caller asked for, and the digest of its key.
 * @param services Clock, known routes, the stop, and the log.
 * @returns The failure with which the session is refused; undefined when it may be opened.
 *
 * @example
 * const refusal = await admitSession({ database: "shop", keyDigest }, services);
 */
export async function admitSession(
    { database, keyDigest }: SessionOpening,
    services: AdmissionServices,
): Promise<StatementFailure | undefined> {
    const { clock, directory, stop, hasNewestRoutes, log } = services;
    const wait = {
        clock,
        timeoutMilliseconds: callerSessionConstants.directoryWaitMilliseconds,
        pollingMilliseconds: callerSessionConstants.directoryPollingMilliseconds,
    };
    if (stop.phase() >= StopPhase.Refusing) {
        log("session refused", { database, reason: "this VM is stopping" });
        return { code: FailureCode.Busy, description: "this VM is stopping" };
    }
    // Without a routing table, every database would be refused as unknown.
    if (!await waitForCondition(() => directory.routingVersion() > 0, wait)) {
        log("session refused", { database, reason: "no routing table is known yet" });
        return { code: FailureCode.Busy, description: "this process has received no routing table yet" };
    }
    // A store that was restored may not hold a route yet that the other VMs know.
    const hasRoute = (): boolean => directory.routeOf(database) !== undefined;
    await waitForCondition(() => hasRoute() || hasNewestRoutes(), wait);
    if (!hasRoute()) {
        log("session refused", { database, version: directory.routingVersion() });
        return { code: FailureCode.UnknownDatabase, description: "no route exists for this database" };
    }
    const hasKnownKey = (): boolean =>
        identifyCaller(directory.routeOf(database) ?? {}, keyDigest, directory) !== undefined;
    await waitForCondition(() => hasKnownKey() || hasNewestRoutes(), wait);
    if (!hasKnownKey()) {
        log("session refused", { database, reason: "unknown key", version: directory.routingVersion() });
        return { code: FailureCode.UnknownKey, description: "no workspace holds this key" };
    }
    return undefined;
}
