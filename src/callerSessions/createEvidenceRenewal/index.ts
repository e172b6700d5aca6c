import type { LogTopic } from "../../logging/types/LogTopic.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { callerSessionConstants } from "../constants.js";
import { noteAnswer } from "../noteAnswer/index.js";
import type { EvidenceRenewal } from "../types/EvidenceRenewal.js";
import type { SessionServices } from "../types/SessionServices.js";

/** Options of `createEvidenceRenewal`. */
type EvidenceRenewalOptions = Omit<SessionServices, "renewal" | "log"> & { readonly log: LogTopic; };

/** The renewal goes before every caller's statement, since many reads rest on it. */
const renewalPriority = -1;

/**
 * Creates the renewal of evidence about the primaries' positions.
 *
 * An empty transaction at the primary tells its position and proves that it is still the primary, without taking one
 * of its slots. At most one question a group is under way; all who need it share the answer.
 *
 * @param options Clock, placement, primaries and evidence.
 * @returns The renewal.
 *
 * @example
 * await renewal.renew("orders");
 */
export function createEvidenceRenewal(options: EvidenceRenewalOptions): EvidenceRenewal {
    const { clock, placement, primaries, evidence, certainty, log } = options;
    const underWay = new Map<string, Promise<void>>();

    async function ask(group: string): Promise<void> {
        const { evidenceMilliseconds } = callerSessionConstants;
        const lease = await placement.acquire({
            group,
            needsPrimary: true,
            priority: renewalPriority,
            expiresAt: clock.now() + evidenceMilliseconds,
            excluded: new Set(),
            values: new Map(),
        });
        const sentAt = clock.now();
        try {
            const [begin, rollback] = await lease.exchange(
                [{ kind: OutgoingKind.Begin, isReadOnly: false }, { kind: OutgoingKind.Rollback }],
                evidenceMilliseconds,
            );
            if (begin?.failure?.code === FailureCode.ReadOnly) {
                primaries.noteNotPrimary(lease.endpoint);
            }
            lease.release();
            if (rollback?.position !== undefined && begin?.failure === undefined) {
                noteAnswer(lease, sentAt, rollback, { primaries, evidence, certainty });
                if (!certainty.isSure(lease.endpoint) && await certainty.confirm(lease.endpoint)) {
                    evidence.note(group, sentAt, rollback.position);
                }
            }
        }
        catch (error) {
            lease.discard();
            throw error;
        }
    }

    function renew(group: string): Promise<void> {
        const running = underWay.get(group);
        if (running !== undefined) {
            return running;
        }
        const asking = ask(group)
            .catch((error: unknown) => {
                log("evidence was not renewed", { group, reason: (error as Error).message });
            })
            .finally(() => underWay.delete(group));
        underWay.set(group, asking);
        return asking;
    }

    function renewIfOld(group: string, stalenessMilliseconds: number): void {
        const newest = evidence.newestAskedAt(group) ?? -Infinity;
        if (clock.now() - newest > callerSessionConstants.evidenceRenewalShare * stalenessMilliseconds) {
            void renew(group);
        }
    }

    return { renew, renewIfOld };
}
