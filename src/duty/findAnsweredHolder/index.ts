import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { RenewalAnswer } from "../types/RenewalAnswer.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/**
 * Finds the holder of the failover duty by the answer to a renewal.
 *
 * @param presumed The holder known to the VM that sent the renewal.
 * @param target The VM that answered.
 * @param answer The answer.
 * @returns The holder, with the token of the presumed one or a higher one.
 * @throws TarragonpostError of kind `Conflict` when the presumed holder answers that it no longer is, and of kind
 * `PlatformUnavailable` when the answer is older than what is known.
 *
 * @example
 * known.apply(findAnsweredHolder(known.holder()!, target, answer));
 */
export function findAnsweredHolder(
    presumed: DutyHolder,
    target: VmIdentity,
    { isHolder, holder }: RenewalAnswer,
): DutyHolder {
    const token = holder?.token ?? 0;
    if (target.name === presumed.name && !isHolder && token <= presumed.token) {
        throw createError(ErrorKind.Conflict, "The queried VM is no longer the holder.", {
            remedy: "Another VM takes over.",
        });
    }
    if (holder === undefined || token < presumed.token) {
        throw createError(
            ErrorKind.PlatformUnavailable,
            `The queried VM knows only an older holder, token ${token} before ${presumed.token}.`,
            { remedy: "Query another VM." },
        );
    }
    return holder;
}
