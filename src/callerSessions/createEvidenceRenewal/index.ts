import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { listRoleQuery } from "../../primaries/listRoleQuery/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { callerSessionConstants } from "../constants.js";
import { recordAnswer } from "../recordAnswer/index.js";
import type { EvidenceRenewal } from "../types/EvidenceRenewal.js";
import type { SessionServices } from "../types/SessionServices.js";

/** Options of `createEvidenceRenewal`. */
type EvidenceRenewalOptions = Omit<SessionServices, "renewal" | "log"> & { readonly log: LogTopic; };

/** A renewal is placed ahead of all callers' statements, since many reads depend on it. */
const renewalPriority = -1;

/**
 * Creates the renewal of the evidence of the primaries' log positions.
 *
 * An empty transaction at the primary returns its log position and proves that it is still the primary, without
 * occupying a slot. At most one request per group is in flight; concurrent renewals share its result.
 *
 * @param options Clock, placement, known primaries and recorded evidence.
 * @returns The renewal.
 *
 * @example
 * await renewal.renew("orders");
 */
export function createEvidenceRenewal(options: EvidenceRenewalOptions): EvidenceRenewal {
    const { clock, placement, primaries, evidence, verification, log } = options;
    const inFlight = new Map<string, Promise<void>>();

    async function queryPosition(group: string): Promise<void> {
        const { evidenceTimeoutMilliseconds } = callerSessionConstants;
        const connection = await placement.acquire({
            group,
            needsPrimary: true,
            priority: renewalPriority,
            expiresAt: clock.now() + evidenceTimeoutMilliseconds,
            excluded: new Set(),
            values: new Map(),
        });
        const sinceSent = startElapsedTimer(clock);
        try {
            const [begin] = await connection.exchange(
                listRoleQuery(),
                evidenceTimeoutMilliseconds,
            );
            if (begin?.failure?.code === FailureCode.ReadOnly) {
                primaries.recordNotPrimary(connection.endpoint);
            }
            connection.release();
            if (begin?.position !== undefined && begin.failure === undefined) {
                const received = { answer: begin, sinceSent, needsPrimary: true };
                recordAnswer(connection, received, { primaries, evidence, verification });
                if (!verification.isVerified(connection.endpoint) && await verification.verify(connection.endpoint)) {
                    evidence.record(group, sinceSent, begin.position);
                }
            }
        }
        catch (error) {
            connection.discard();
            throw error;
        }
    }

    function renew(group: string): Promise<void> {
        const running = inFlight.get(group);
        if (running !== undefined) {
            return running;
        }
        const request = queryPosition(group)
            .catch((error: unknown) => {
                log("evidence of the primary's log position was not renewed", {
                    group,
                    reason: (error as Error).message,
                });
            })
            .finally(() => inFlight.delete(group));
        inFlight.set(group, request);
        return request;
    }

    function renewIfOld(group: string, stalenessMilliseconds: number): void {
        const age = evidence.newestAge(group) ?? Infinity;
        if (age > callerSessionConstants.evidenceRenewalShare * stalenessMilliseconds) {
            void renew(group);
        }
    }

    return { renew, renewIfOld };
}
