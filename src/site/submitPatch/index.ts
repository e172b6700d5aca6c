import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { Address } from "../../network/types/Address.js";
import { runOperator } from "../runOperator/index.js";
import type { SitePlan } from "../types/SitePlan.js";

/** Options of `submitPatch`. */
interface SubmitPatchOptions {
    /** The version that the patch is submitted against. */
    readonly against: number;
    /** Folder of the site, where the patch is written to a file. */
    readonly folder: string;
    /** Waits until the version is in force everywhere. */
    readonly isWaiting?: boolean;
    /** Index of the VM whose gateway is asked; any gateway that answers when left out. */
    readonly vmIndex?: number;
}

/**
 * Submits a configuration patch as an operator would, with the operator's program.
 *
 * @param plan The site.
 * @param patch The patch.
 * @param options The version it is against and where to write the file.
 * @returns What the program printed.
 * @throws TarragonpostError of kind `Unexpected` when the program failed.
 *
 * @example
 * await submitPatch(site.plan, { limits: { requestBytes: 65_536 } }, { against: 1, folder: site.folder });
 */
export async function submitPatch(plan: SitePlan, patch: object, options: SubmitPatchOptions): Promise<string> {
    const file = join(options.folder, `patch-${options.against + 1}-${options.vmIndex ?? 0}.jsonc`);
    await writeFile(file, JSON.stringify(patch, undefined, 4));
    const waiting = options.isWaiting === true ? ["--wait"] : [];
    const words = ["config", "patch", file, "--against", String(options.against), ...waiting];
    return runOperator(words, { folder: options.folder, gateway: gatewayOf(plan, options.vmIndex) });
}

function gatewayOf(plan: SitePlan, vmIndex: number | undefined): Address | undefined {
    return vmIndex === undefined ? undefined : plan.vms[vmIndex]?.gateway;
}
